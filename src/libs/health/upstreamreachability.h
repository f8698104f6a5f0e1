// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <base/timerqueue.h>
#include <base/upstreamgroup.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sailtiller {

/// Intervals and bounds of the reachability of upstream groups.
struct upstream_reachability_settings
{
    /// Time limit of a check connection. One within a site takes a millisecond or two.
    duration check_limit = std::chrono::milliseconds(60);
    /// Distinct upstreams of a group, or all of a smaller one, that must fail in a row. Two engines may end
    /// in the same moment.
    std::size_t min_failed = 3;
    /// Distinct upstreams that must be connected again before a group counts as reachable, so that single
    /// connections through a lossy network don't make it alternate.
    std::size_t min_connected = 2;
    /// Interval between checks of an unreachable group.
    duration recheck_interval = std::chrono::milliseconds(500);
    /// A connection that failed later than its limit by more than this shows a stalled process.
    duration late_timer_margin = std::chrono::milliseconds(50);
    /// Age at which a failed connection no longer counts.
    duration failure_memory = std::chrono::milliseconds(1000);
};

/// Callbacks of the reachability of upstream groups.
struct upstream_reachability_hooks
{
    timer_hooks timers;
    random_function random;
    /// Returns all groups that have upstreams.
    std::function<std::vector<upstream_group>()> list_groups;
    /// Returns the upstreams of a group.
    std::function<std::vector<upstream_id>(const upstream_group&)> list_members;
    /// Tries to make a connection within the limit, without sending anything. Answers asynchronously.
    std::function<void(const upstream_id&, duration limit, std::function<void(bool is_made)>)> connect;
    /// Called when a group becomes unreachable, or reachable again.
    std::function<void(const upstream_group&, bool is_reachable)> on_change;
};

/// Decides which groups of upstreams this host can make no connections to.
///
/// The evidence is new connections only: those that are open may live on while new ones fail, and the
/// reverse. One upstream that can't be connected says nothing about its group, so others of the group are
/// checked at once, whether or not this host has requests for them. A host that loses one group checks the
/// others too. A group whose upstreams are all dead counts as unreachable as well; other hosts find the same.
class upstream_reachability
{
public:
    upstream_reachability(upstream_reachability_settings settings, upstream_reachability_hooks hooks);

    /// Records a new connection to an upstream.
    void note_connected(const upstream_id& id, const upstream_group& group);
    /// Records a connection that was begun at `began` and not made within `limit`.
    void note_failed(const upstream_id& id, const upstream_group& group, time_point began, duration limit);
    [[nodiscard]] bool is_reachable(const upstream_group& group) const;
    /// Returns the time at which the group became unreachable; empty while it is reachable.
    [[nodiscard]] std::optional<time_point> unreachable_since(const upstream_group& group) const;
    /// Returns true if some group of the service is reachable or has not been tried.
    [[nodiscard]] bool is_service_reachable(const service_id& service) const;
    /// Returns true if connections to the group failed lately and none was made since, so that a silent
    /// upstream of the group need not be dead.
    [[nodiscard]] bool is_doubtful(const upstream_group& group) const;
    [[nodiscard]] std::vector<upstream_group> unreachable_groups() const;
    /// Calls `action` once no check that could change the state of the group is pending; at once if there is
    /// none.
    void when_settled(const upstream_group& group, std::function<void()> action);

private:
    struct group_state
    {
        std::map<upstream_id, time_point> failed; ///< since the last connection
        std::set<upstream_id> checking;
        std::set<upstream_id> connected_again; ///< while unreachable
        std::optional<time_point> last_connected;
        std::optional<time_point> unreachable_since;
    };
    struct waiting_action
    {
        upstream_group group;
        std::function<void()> action;
    };

    [[nodiscard]] const group_state* find(const upstream_group& group) const;
    [[nodiscard]] std::vector<upstream_group> list_siblings(const upstream_group& group) const;
    /// Checks as many upstreams of the group as are missing for a decision.
    void check(const upstream_group& group);
    void start_check(const upstream_id& id, const upstream_group& group);
    void record_failure(const upstream_id& id, const upstream_group& group, time_point began, duration limit);
    void check_others(const upstream_group& group);
    /// Decides on the group and those that depend on it, once its checks have ended.
    void settle(const upstream_group& group);
    void evaluate(const upstream_group& group);
    [[nodiscard]] bool has_failed(const upstream_group& group, const group_state& state) const;
    [[nodiscard]] bool is_settled(const upstream_group& group) const;
    void run_settled_actions();
    void schedule_recheck();
    void recheck();

    upstream_reachability_settings settings;
    upstream_reachability_hooks hooks;
    std::map<upstream_group, group_state> groups;
    std::vector<waiting_action> waiting;
    bool is_recheck_scheduled = false;
};

} // namespace sailtiller
