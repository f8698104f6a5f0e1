// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/plannedstop.h>
#include <delivery/deliverycontext.h>
#include <gateway/startupqueue.h>
#include <runtime/httpexchange.h>

namespace sailtiller {

class plain_delivery;
class stream_delivery;

/// Takes callers' requests for the routes of a site's bundle: finds the route and the account, and starts the
/// delivery. A request keeps the bundle with which it began.
class gateway_service
{
public:
    explicit gateway_service(delivery_context& context)
        : context(context)
        , early(context.timers, [this] { return this->can_route(); }, {})
    {
    }

    /// Requests that come from now on are judged by this bundle.
    void set_bundle(std::shared_ptr<const site_bundle> next) { this->bundle = std::move(next); }
    [[nodiscard]] const std::shared_ptr<const site_bundle>& current_bundle() const { return this->bundle; }

    /// These upstreams are dead; the streams over them go on without them.
    void leave_upstreams(const std::vector<upstream_id>& ids);
    /// A dead upstream has given a sign of life.
    void keep_upstream(const upstream_id& id);
    /// Leads streams around engines that have given up layers of their paths.
    void leave_given_up_layers();
    /// Answers a caller's request, at once or by a delivery.
    void handle(const std::shared_ptr<http_exchange>& exchange);
    [[nodiscard]] std::size_t requests_in_flight() const
    {
        return this->under_way.size() + this->early.count();
    }
    /// The host has been told to stop: takes nothing once the grace is over.
    void begin_stop(duration grace);
    /// The stop's limit has come: ends every request that is under way, with a last answer where none has
    /// begun. Returns how many answers were broken off.
    std::size_t end_for_stop();

private:
    struct active_request
    {
        time_point arrived;
        std::weak_ptr<stream_delivery> stream; ///< one of the two is empty
        std::weak_ptr<plain_delivery> plain;
    };

    /// True once there was a bundle that was known to be the newest.
    [[nodiscard]] bool can_route();
    /// The request waits until it can be judged; false if it must not.
    bool hold(
        const std::shared_ptr<http_exchange>& exchange, const caller_request& request, time_point arrived);
    void refuse_without_bundle(const std::shared_ptr<http_exchange>& exchange, const caller_request& request);
    /// Answers a request that was read at `arrived`; there is a bundle.
    void judge(
        const std::shared_ptr<http_exchange>& exchange, const caller_request& request, time_point arrived);
    /// Finds the caller's account where the route wants one; false if the key is missing or not known.
    [[nodiscard]] bool admit(delivery_order& order) const;
    void deliver(const std::shared_ptr<http_exchange>& exchange, delivery_order order);
    [[nodiscard]] static caller_hooks make_caller_hooks(const std::shared_ptr<http_exchange>& exchange);
    /// One of the route's targets, by their weights.
    [[nodiscard]] service_id choose_service(const service_route& route) const;
    /// Calls `action` for each stream under way; streams may end meanwhile.
    void visit_streams(const std::function<void(stream_delivery&)>& action) const;
    void refuse(const std::shared_ptr<http_exchange>& exchange, const caller_request& request, int status,
        const std::string& reason);
    /// Sends the caller to another host at once, as this one stops.
    void refuse_while_stopping(const std::shared_ptr<http_exchange>& exchange, const caller_request& request);
    void answer_refused(const std::shared_ptr<http_exchange>& exchange, const caller_request& request,
        const http_response& response, const std::string& reason);

    delivery_context& context;
    std::shared_ptr<const site_bundle> bundle;
    planned_stop stop;
    startup_queue early;
    bool had_current_bundle = false;
    std::map<std::uint64_t, active_request> under_way;
    std::uint64_t last_taken = 0;
};

} // namespace sailtiller
