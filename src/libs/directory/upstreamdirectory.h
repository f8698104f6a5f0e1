// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailtiller {

/// Layers from `begin` up to, without, `end`.
struct layer_span
{
    unsigned begin = 0;
    unsigned end = 0;

    auto operator<=>(const layer_span&) const = default;
    [[nodiscard]] bool is_empty() const { return this->begin >= this->end; }
    [[nodiscard]] unsigned count() const { return this->is_empty() ? 0 : this->end - this->begin; }
    [[nodiscard]] bool holds(unsigned layer) const { return layer >= this->begin && layer < this->end; }
    [[nodiscard]] bool contains(const layer_span& other) const
    {
        return other.is_empty() || (this->begin <= other.begin && other.end <= this->end);
    }
    [[nodiscard]] bool overlaps(const layer_span& other) const
    {
        return this->begin < other.end && other.begin < this->end;
    }
};

/// One start of an upstream, as it describes itself. Its id is never used again; its address may be.
struct discovered_upstream
{
    upstream_id id;
    service_id service;
    endpoint address;
    data_hall_id data_hall;
    bool is_leaving = false;
    std::string card; ///< name of its accelerator's kind in the engine profile; empty for plain services
    layer_span held; ///< layers whose weights are loaded

    bool operator==(const discovered_upstream&) const = default;
};

/// An upstream with what this host knows of its entry.
struct directory_entry
{
    discovered_upstream upstream;
    time_point since{}; ///< when this host first heard of it
    bool is_lapsed = false; ///< its entry vanished while the store was away; it may still be alive
};

/// The upstreams that this host knows of. An entry that vanishes while the store is disturbed is kept as
/// lapsed until the store has been back for a while, since the store may have dropped it by itself.
class upstream_directory
{
public:
    /// `lapse_grace`: how long after the store's return a lapsed entry is still believed.
    explicit upstream_directory(duration lapse_grace)
        : lapse_grace(lapse_grace)
    {
    }

    /// Takes one upstream's entry. Returns whether anything but its age changed.
    bool put(const discovered_upstream& upstream, time_point now);
    /// An entry vanished from the store.
    void remove(const upstream_id& id, time_point now);
    /// Takes the whole list; what is not in it counts as removed. Returns whether anything changed.
    bool replace(const std::vector<discovered_upstream>& upstreams, time_point now);
    /// When the store last failed whoever reads the entries; nothing if it never has.
    void set_store_disturbed(std::optional<time_point> at) { this->last_disturbed = at; }
    [[nodiscard]] const std::optional<time_point>& store_disturbed_at() const { return this->last_disturbed; }
    /// Drops lapsed entries whose time is over. Returns whether any was.
    bool drop_lapsed(time_point now);

    /// Null if it isn't known.
    [[nodiscard]] const directory_entry* find(const upstream_id& id) const;
    /// The newest upstream at that address; null if there is none.
    [[nodiscard]] const directory_entry* find_by_address(const endpoint& address) const;
    [[nodiscard]] const std::map<upstream_id, directory_entry>& entries() const { return this->items; }
    /// Counts changes, for whoever derives something from the entries.
    [[nodiscard]] std::uint64_t change_count() const { return this->changes; }

private:
    /// True while a missing entry may only be the store's fault.
    [[nodiscard]] bool is_store_disturbed(time_point now) const;
    void drop(const upstream_id& id);

    duration lapse_grace;
    std::map<upstream_id, directory_entry> items;
    std::unordered_map<endpoint, upstream_id> by_address; ///< the newest upstream at each address
    std::optional<time_point> last_disturbed;
    std::uint64_t changes = 0;
};

} // namespace sailtiller
