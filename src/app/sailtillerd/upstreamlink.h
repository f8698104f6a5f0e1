// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <placement/layerorder.h>
#include <runtime/connectionpool.h>
#include <runtime/wholecall.h>

namespace sailtiller {

/// Callbacks of the calls to upstreams.
struct upstream_link_hooks
{
    /// A new connection to an upstream was made, or could not be made.
    std::function<void(const upstream_id&, bool is_made)> on_connection;
};

/// The host's calls to the upstreams of its site, each with its own limits: callers' requests, changes of
/// path, probes and orders.
class upstream_link
{
public:
    upstream_link(event_loop& loop, std::optional<endpoint> source, upstream_link_hooks hooks);

    /// Sets the address from which new connections are made; the system chooses without it.
    void set_source(std::optional<endpoint> next) { this->source = std::move(next); }

    /// Sends a caller's request; only one that may be repeated goes over a kept connection.
    cancel_call send(const upstream_target& target, const http_request& request, bool may_repeat,
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

private:
    /// A probe that goes out twice; the first answer counts.
    struct probe_race
    {
        std::function<void(const std::optional<engine_report>&)> on_answer; ///< empty once it is told
        int left = 2; ///< sends without an end
    };

    [[nodiscard]] whole_call make_call(
        const upstream_target& target, http_request request, duration limit, connection_pool* pool) const;
    void send_probe(const upstream_target& target, duration limit, connection_pool* pool,
        const std::shared_ptr<probe_race>& race);
    [[nodiscard]] engine_report read_report(const endpoint& target, const http_response& answer) const;

    event_loop& loop;
    std::optional<endpoint> source;
    upstream_link_hooks hooks;
    request_codec requests;
    order_codec orders;
    connection_pool connections;
};

} // namespace sailtiller
