// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundleparts.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace sailtiller {

/// The bundle parts that a host holds: those in force, and the latest others up to a bound of bytes, so that
/// a bundle published a while ago can take force without being fetched.
class part_store
{
public:
    explicit part_store(std::size_t max_unpinned_bytes);

    void add(const std::string& body);
    /// Null if the part isn't held.
    [[nodiscard]] const std::string* find(const part_digest& digest) const;
    /// Keeps these parts whatever the bound, also those that arrive later; those kept before become spare.
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
