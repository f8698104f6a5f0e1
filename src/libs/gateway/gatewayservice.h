// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <gateway/startupqueue.h>
#include <runtime/httpexchange.h>

namespace sailtiller {

class plain_delivery;
class stream_delivery;

/// Accepts callers' requests for the routes of a site's bundle: finds the route and the account, and starts
/// the delivery. A request keeps the bundle under which it started.
class gateway_service
{
public:
    explicit gateway_service(delivery_context& context)
        : context(context)
        , early(context.timers, [this] { return this->can_route(); }, {})
    {
    }

    /// Sets the bundle for requests that arrive from now on.
    void set_bundle(std::shared_ptr<const site_bundle> next) { this->bundle = std::move(next); }
    [[nodiscard]] const std::shared_ptr<const site_bundle>& current_bundle() const { return this->bundle; }

    /// Moves streams off dead upstreams.
    void leave_upstreams(const std::vector<upstream_id>& ids);
    /// Marks an upstream that was dead as alive again for all streams.
    void keep_upstream(const upstream_id& id);
    /// Moves streams off silent connections to heads to which no new ones can be made; as
    /// `stream_delivery::leave_lost_connection`.
    void leave_lost_connections(
        const std::function<std::optional<time_point>(const upstream_id&)>& unreachable_since);
    /// Changes the paths of streams whose engines no longer hold layers of these paths.
    void leave_given_up_layers();
    /// Answers a caller's request immediately, queues it, or starts a delivery for it.
    void handle(const std::shared_ptr<http_exchange>& exchange);
    [[nodiscard]] std::size_t requests_in_flight() const
    {
        return this->under_way.size() + this->early.count();
    }
    /// Starts a planned stop: new requests are refused once `grace` has passed, and what has no answer yet
    /// is ended when `answering` has.
    void begin_stop(duration grace, duration answering);
    /// Ends every request in progress at the time limit of the stop, with a final answer if none has begun.
    /// Returns the number of answers cut off.
    std::size_t end_for_stop();

private:
    struct active_request
    {
        time_point arrived;
        std::weak_ptr<stream_delivery> stream; ///< exactly one of the two is set
        std::weak_ptr<plain_delivery> plain;
    };

    /// True from the first time that a bundle was in force and confirmed as the newest.
    [[nodiscard]] bool can_route();
    /// Queues the request until the host is ready; returns false if it can't be queued.
    bool hold(
        const std::shared_ptr<http_exchange>& exchange, const caller_request& request, time_point arrived);
    void refuse_without_bundle(const std::shared_ptr<http_exchange>& exchange, const caller_request& request);
    /// Routes a request that was received at `arrived`; requires a bundle.
    void judge(
        const std::shared_ptr<http_exchange>& exchange, const caller_request& request, time_point arrived);
    void log_unreadable_headers(const caller_request& request);
    /// Finds the caller's account if the route requires one; returns false if the key is missing or unknown.
    [[nodiscard]] bool admit(delivery_order& order) const;
    void deliver(const std::shared_ptr<http_exchange>& exchange, delivery_order order);
    [[nodiscard]] static caller_hooks make_caller_hooks(const std::shared_ptr<http_exchange>& exchange);
    /// Chooses one of the route's targets at random by weight; nothing if none has any.
    [[nodiscard]] std::optional<service_id> choose_service(const service_route& route) const;
    /// Calls `action` for each stream in progress; `action` may end streams.
    void visit_streams(const std::function<void(stream_delivery&)>& action) const;
    void refuse(const std::shared_ptr<http_exchange>& exchange, const caller_request& request, int status,
        const std::string& reason);
    /// Refuses a request during a stop, with a short Retry-After so that the caller tries another host.
    void refuse_while_stopping(const std::shared_ptr<http_exchange>& exchange, const caller_request& request);
    void answer_refused(const std::shared_ptr<http_exchange>& exchange, const caller_request& request,
        const http_response& response, const std::string& reason);

    delivery_context& context;
    std::shared_ptr<const site_bundle> bundle;
    startup_queue early;
    bool had_current_bundle = false;
    std::map<std::uint64_t, active_request> under_way;
    std::uint64_t last_taken = 0;
};

} // namespace sailtiller
