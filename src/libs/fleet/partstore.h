// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundleparts.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace sailtiller {

/// The bundle parts that a host holds: the pinned parts of the bundle in force, and the latest others up to a
/// size bound, so that a bundle published earlier can be activated without fetching it.
class part_store
{
public:
    explicit part_store(std::size_t max_unpinned_bytes);

    void add(const std::string& body);
    /// Null if the part isn't held.
    [[nodiscard]] const std::string* find(const part_digest& digest) const;
    /// Pins these parts regardless of the bound, including those that arrive later, and unpins all others.
    void keep(const std::vector<part_digest>& digests);
    [[nodiscard]] std::size_t size() const { return this->bodies.size(); }
    [[nodiscard]] std::size_t bytes() const { return this->total_bytes; }
    [[nodiscard]] part_lookup lookup() const;

private:
    void evict_oldest_unpinned();

    std::size_t max_unpinned_bytes;
    std::size_t total_bytes = 0;
    std::size_t pinned_bytes = 0;
    std::unordered_map<part_digest, std::string> bodies;
    std::set<part_digest> kept;
    std::deque<part_digest> order;
};

} // namespace sailtiller
