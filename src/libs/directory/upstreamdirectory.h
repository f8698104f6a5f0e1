// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/startid.h>

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

/// One start of an upstream, as it describes itself. Its name and its address may be used by a later start.
struct discovered_upstream
{
    upstream_id id; ///< of the start
    std::optional<start_moment> born; ///< nothing if it doesn't tell
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
/// lapsed until the store has been back for a while, since the store may have dropped it by itself. Of one
/// name, and of one service at one address, only the youngest start is there: an entry that an older one
/// wrote late names nothing. Without that, an engine that had started anew was believed to hold layers it had
/// lost for 4 s, and a hall went without them for 20 s (a log of one play). Starts are ordered by the moments
/// that they tell, in whatever order their entries come; of those that tell none, the one that was seen first
/// is the older, and two that are first seen together both stay.
class upstream_directory
{
public:
    /// `lapse_grace`: how long after the store's return a lapsed entry is still believed. `on_outlived` is
    /// told each start that has ended because a younger one stands in its place.
    explicit upstream_directory(
        duration lapse_grace, std::function<void(const upstream_id&)> on_outlived = nullptr)
        : lapse_grace(lapse_grace)
        , on_superseded(std::move(on_outlived))
    {
    }

    /// Takes one upstream's entry. Returns whether anything but its age changed; false for a start that a
    /// younger one has replaced.
    bool put(const discovered_upstream& upstream, time_point now);
    /// An entry vanished from the store.
    void remove(const upstream_id& id, time_point now);
    /// An upstream leaves, whatever its entry says. Returns whether that is news.
    bool set_leaving(const upstream_id& id);
    /// An upstream is not to be used any more, whatever the store's state.
    void drop(const upstream_id& id, time_point now);
    /// Another upstream answered in place of this start, so it has ended.
    void mark_superseded(const upstream_id& id, time_point now);
    /// Takes the whole list; what is not in it counts as removed. Returns whether anything changed.
    bool replace(const std::vector<discovered_upstream>& upstreams, time_point now);
    /// When the store last failed whoever reads the entries; nothing if it never has.
    void set_store_disturbed(std::optional<time_point> at) { this->last_disturbed = at; }
    [[nodiscard]] const std::optional<time_point>& store_disturbed_at() const { return this->last_disturbed; }
    /// Drops lapsed entries whose time is over, and returns them.
    std::vector<upstream_id> drop_lapsed(time_point now);

    /// Null if it isn't known.
    [[nodiscard]] const directory_entry* find(const upstream_id& id) const;
    /// The upstream that goes by that name; null if there is none.
    [[nodiscard]] const directory_entry* find_by_name(const std::string& name) const;
    /// The youngest upstream of a service at that address; null if there is none.
    [[nodiscard]] const directory_entry* find_at(const service_id& service, const endpoint& address) const;
    [[nodiscard]] const std::map<upstream_id, directory_entry>& entries() const { return this->items; }
    /// Counts changes, for whoever derives something from the entries.
    [[nodiscard]] std::uint64_t change_count() const { return this->changes; }

private:
    using service_address = std::pair<service_id, endpoint>;
    /// The youngest start that was known at a place; it is remembered for a while after it left the list.
    struct address_owner
    {
        upstream_id id;
        std::optional<start_moment> born;
        time_point first_seen{}; ///< first seen
        std::optional<time_point> released_at; ///< nothing while it is in the list
        std::map<upstream_id, time_point> superseded; ///< older starts of the place, and since when they are
    };

    /// True while a missing entry may only be the store's fault.
    [[nodiscard]] bool is_store_disturbed(time_point now) const;
    /// True if a younger start of the same name, or at the same address, is known.
    [[nodiscard]] bool is_superseded(const discovered_upstream& upstream) const;
    /// True if this start, which is not in the list, is younger than the holder of its place.
    [[nodiscard]] static bool is_newer_start(
        const discovered_upstream& upstream, const address_owner& holder, time_point now);
    /// The start takes its place; the older ones there, and the one of its name, end. Returns those of them
    /// that were in the list.
    std::vector<upstream_id> claim_address(const discovered_upstream& upstream, time_point now);
    void notify_superseded(const std::vector<upstream_id>& ended) const;
    void release_address(const discovered_upstream& upstream, time_point now);
    void remove_expired_starts(time_point now);

    duration lapse_grace;
    std::function<void(const upstream_id&)> on_superseded;
    std::map<upstream_id, directory_entry> items;
    std::unordered_map<std::string, upstream_id> by_name;
    std::map<service_address, address_owner> by_address;
    std::optional<time_point> last_disturbed;
    std::uint64_t changes = 0;
};

} // namespace sailtiller
