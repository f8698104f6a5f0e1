// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <health/upstreamreachability.h>
#include <placement/layerorder.h>
#include <relay/relayclient.h>
#include <runtime/connectionpool.h>
#include <runtime/wholecall.h>

namespace sailtiller {

/// What an unanswered probe shows.
enum class probe_evidence {
    of_death, ///< the upstream is dead, or no host reaches it
    none_yet, ///< this host may have lost its way to it
    of_lost_way ///< this host has lost its way, and others may reach it: a probe by way of them tells
};

/// Callbacks of the calls to upstreams.
struct upstream_link_hooks
{
    random_function random;
    const upstream_directory& upstreams;
    /// A new connection to an upstream was made, or could not be made.
    std::function<void(bool is_made)> on_connection;
    /// This host can't connect to a group of upstreams any more, or can again.
    std::function<void(const upstream_group&, bool is_reachable)> on_change;
    /// Other hosts that relay requests to the group, as they report.
    std::function<std::vector<relay_candidate>(const upstream_group&)> list_candidates;
    /// False once the other host counts as gone.
    std::function<bool(const host_id&)> is_host_up;
    /// Another host answered that it can't connect to the group either.
    std::function<void(const host_id&, const upstream_group&)> on_no_way;
    /// A call was lost with the host by way of which it went.
    std::function<void(relay_loss)> on_relay_lost;
    /// What came for an answer, over a connection of this host's own, is none, and was broken off.
    std::function<void(answer_fault)> on_fault;
    /// True while this host hears any other one.
    std::function<bool()> hears_other_hosts;
    /// Logs a decision about a request.
    std::function<void(const delivery_event&)> log;
};

/// The host's calls to the upstreams of its site, each with its own limits: callers' requests, changes of
/// path, probes and orders. While this host can't connect to a group of upstreams, all but orders go by way
/// of another host.
class upstream_link
{
public:
    upstream_link(event_loop& loop, std::optional<endpoint> source, upstream_link_hooks hooks);

    /// Sets the address from which new connections are made; the system chooses without it.
    void set_source(std::optional<endpoint> next) { this->source = std::move(next); }
    /// Sends a caller's request; only one that may be repeated goes over a kept connection. One that got no
    /// connection goes by way of another host if this host proves to be cut off.
    cancel_call send(const upstream_target& target, const http_request& request, bool may_repeat,
        http_call_handlers handlers);
    /// Sends a request over a connection of this host's own, and not by way of another host.
    cancel_call send_directly(const upstream_target& target, const http_request& request, bool may_repeat,
        http_call_handlers handlers);
    /// Asks an engine to lead a running request over another path.
    void send_path_change(
        const path_change& change, const std::function<void(const path_change_answer&)>& on_answer);
    /// Asks for a sign of life: tells the upstream's report, or nothing if none came. A question without
    /// answer after `second_after` goes out once more, over a connection of its own.
    void probe(const upstream_target& target, duration second_after,
        const std::function<void(const std::optional<engine_report>&)>& on_answer);
    /// Tells an engine which layers to hold.
    void send_order(const layer_order& order, const std::function<void(order_result)>& on_result);

    /// True if this host can make connections to the group, as far as it knows.
    [[nodiscard]] bool is_reachable(const upstream_group& group) const;
    /// Since when this host can't connect to the upstream's group; nothing while it can.
    [[nodiscard]] std::optional<time_point> unreachable_since(const upstream_id& id) const;
    [[nodiscard]] std::vector<upstream_group> unreachable_groups() const;
    /// True if this host can connect to some upstream of the service.
    [[nodiscard]] bool connects_to(const service_id& service) const;
    /// True if requests to the service can be sent: directly, by way of another host or, if they may be
    /// repeated, over a kept connection.
    [[nodiscard]] bool has_way_to(const service_id& service, bool may_repeat) const;
    /// What an unanswered probe that was sent lately shows about the upstream.
    [[nodiscard]] probe_evidence judge_silence(const upstream_id& id) const;
    /// Calls that are on their way by way of other hosts.
    [[nodiscard]] std::size_t calls_by_other_hosts() const { return this->relay.calls_in_progress(); }

private:
    /// A probe that goes out twice; the first answer counts.
    struct probe_race
    {
        std::function<void(const std::optional<engine_report>&)> on_answer; ///< empty once it is told
        int left = 2; ///< sends without an end
    };
    /// A caller's request that may change from this host's own connection to another host.
    struct routed_call
    {
        upstream_target target;
        upstream_group group;
        http_request request;
        bool may_repeat = false;
        http_call_handlers handlers;
        cancel_call cancel;
        bool is_cancelled = false;
    };
    using connection_observer = std::function<void(bool is_made)>;
    using group_members = std::map<upstream_group, std::vector<upstream_id>>;

    upstream_reachability_hooks make_reachability_hooks();
    /// The upstreams by group, collected anew only after a change of the directory.
    const group_members& list_groups();
    [[nodiscard]] std::optional<upstream_group> find_group(const upstream_id& id) const;
    [[nodiscard]] bool uses_other_hosts(const upstream_group& group) const;
    /// Feeds what becomes of a new connection into the reachability of the upstream's group.
    [[nodiscard]] connection_observer make_observer(const upstream_id& id, duration limit);
    cancel_call send_observed(const upstream_target& target, const http_request& request, bool may_repeat,
        http_call_handlers handlers, connection_observer observer);
    void send_by_other_host(const std::shared_ptr<routed_call>& call);
    void end_without_connection(const std::shared_ptr<routed_call>& call, const std::string& reason);
    /// Returns true if another host that this one hears can send requests to the service.
    [[nodiscard]] bool is_relayed(const service_id& service) const;
    /// True if an upstream of the unreachable group has lately answered over a kept connection.
    [[nodiscard]] bool answers_over_kept_connections(const upstream_group& group) const;
    /// Finds out, as long as upstreams are unreachable, which services answer over kept connections.
    void check_kept_connections();
    void check_kept_connections_to(const upstream_group& group);
    void check_connection(const upstream_id& id, duration limit, const connection_observer& on_end);
    /// Sends a request with a small answer, directly or by way of another host.
    void send_small(const upstream_target& target, const http_request& request,
        const whole_answer_limits& limits, connection_pool* pool,
        const std::function<void(const whole_call_result&)>& on_end);
    void send_probe(const upstream_target& target, duration limit, connection_pool* pool,
        const std::shared_ptr<probe_race>& race);
    [[nodiscard]] engine_report read_report(const endpoint& target, const http_response& answer) const;

    event_loop& loop;
    std::optional<endpoint> source;
    upstream_link_hooks hooks;
    request_codec requests;
    order_codec orders;
    connection_pool connections;
    group_members groups;
    std::optional<std::uint64_t> groups_version; ///< of the directory
    upstream_reachability reachability;
    relay_client relay;
    /// Last answers over kept connections, of groups to which no new ones can be made.
    std::map<upstream_group, time_point> answered;
    bool is_kept_check_scheduled = false;
};

} // namespace sailtiller
