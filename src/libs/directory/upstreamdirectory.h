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

/// Half-open range of layers [begin, end).
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

/// One start of an upstream, as its entry describes it. A later start may reuse its name and address.
struct discovered_upstream
{
    upstream_id id; ///< identifies the start
    std::optional<start_moment> born; ///< time of the start; nothing if the entry has none
    service_id service;
    endpoint address;
    data_hall_id data_hall;
    bool is_leaving = false;
    std::string card; ///< accelerator kind by its name in the engine profile; empty for plain services
    layer_span held; ///< layers whose weights are loaded

    bool operator==(const discovered_upstream&) const = default;
};

/// An upstream with the state of its entry at this host.
struct directory_entry
{
    discovered_upstream upstream;
    time_point since{}; ///< first seen by this host
    bool is_lapsed = false; ///< entry vanished while the store was disturbed; the upstream may still be alive
};

/// The upstreams known to this host.
///
/// An entry that vanishes while the store is disturbed is kept as lapsed for a grace period after the store's
/// return, as the store itself may have dropped it.
///
/// Only the newest start of a name, and of a service at an address, is listed; late entries of superseded
/// starts are ignored. Otherwise a restarted engine is assumed to hold layers that it has lost: for 4 s in
/// one case, which left a data hall without these layers for 20 s. Starts are ordered by their start times,
/// regardless of the order of their entries. Without start times, the start that was seen first is the older
/// one, and two that are first seen at the same time both stay.
class upstream_directory
{
public:
    /// `lapse_grace`: time for which lapsed entries are kept after the store's return. `on_superseded` is
    /// called for each start that a newer one has replaced.
    explicit upstream_directory(
        duration lapse_grace, std::function<void(const upstream_id&)> on_superseded = nullptr)
        : lapse_grace(lapse_grace)
        , on_superseded(std::move(on_superseded))
    {
    }

    /// Adds or updates an entry. Returns whether anything but its age changed; false for a superseded start.
    bool put(const discovered_upstream& upstream, time_point now);
    /// Handles an entry that vanished from the store: removes it, or marks it as lapsed while the store is
    /// disturbed.
    void remove(const upstream_id& id, time_point now);
    /// Marks an upstream as leaving, whatever its entry says. Returns whether it was not marked before.
    bool set_leaving(const upstream_id& id);
    /// Removes an upstream, whatever the store's state.
    void drop(const upstream_id& id, time_point now);
    /// Removes a start that has ended, as another upstream answered at its address.
    void mark_superseded(const upstream_id& id, time_point now);
    /// Replaces all entries; those not in the list are handled as by `remove`. Returns whether anything
    /// changed.
    bool replace(const std::vector<discovered_upstream>& upstreams, time_point now);
    /// Sets the time of the last failure to read entries from the store; nothing if there was none.
    void set_store_disturbed(std::optional<time_point> at) { this->last_disturbed = at; }
    [[nodiscard]] const std::optional<time_point>& store_disturbed_at() const { return this->last_disturbed; }
    /// Removes lapsed entries after the grace period, and returns their ids.
    std::vector<upstream_id> drop_lapsed(time_point now);

    /// Returns the entry of a start, or null.
    [[nodiscard]] const directory_entry* find(const upstream_id& id) const;
    /// Returns the entry of the start with this name, or null.
    [[nodiscard]] const directory_entry* find_by_name(const std::string& name) const;
    /// Returns the entry of the newest upstream of a service at this address, or null.
    [[nodiscard]] const directory_entry* find_at(const service_id& service, const endpoint& address) const;
    [[nodiscard]] const std::map<upstream_id, directory_entry>& entries() const { return this->items; }
    /// Returns a counter that increases with each change, for caches of data derived from the entries.
    [[nodiscard]] std::uint64_t change_count() const { return this->changes; }

private:
    using service_address = std::pair<service_id, endpoint>;
    /// Newest start known at an address. It is kept for some time after it left the list.
    struct address_owner
    {
        upstream_id id;
        std::optional<start_moment> born;
        time_point first_seen{};
        std::optional<time_point> released_at; ///< end of its time in the list; nothing while it is listed
        std::map<upstream_id, time_point>
            superseded; ///< older starts at the address, with the times at which they were replaced
    };

    /// Returns whether a missing entry may be caused by the store.
    [[nodiscard]] bool is_store_disturbed(time_point now) const;
    /// Returns whether a newer start of the same name, or at the same address, is known.
    [[nodiscard]] bool is_superseded(const discovered_upstream& upstream) const;
    /// Returns whether this start, which is not listed, is newer than the owner of its address.
    [[nodiscard]] static bool is_newer_start(
        const discovered_upstream& upstream, const address_owner& owner, time_point now);
    /// Makes the start the owner of its address, and removes older starts of the address or the name. Returns
    /// the ids of those that were listed.
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
