// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <delivery/plaindelivery.h>
#include <delivery/streamdelivery.h>
#include <gateway/gatewayservice.h>

namespace sailtiller {

void gateway_service::answer_refused(const std::shared_ptr<http_exchange>& exchange,
    const caller_request& request, const http_response& response, const std::string& reason)
{
    this->context.log({event_type::refused_at_entry, request.id.value(), "",
        std::to_string(response.status) + " " + reason});
    exchange->respond(response);
}

void gateway_service::refuse(const std::shared_ptr<http_exchange>& exchange, const caller_request& request,
    int status, const std::string& reason)
{
    const http_response response = status == http_status::unavailable
        ? make_refusal(this->context.settings.retry_after, reason)
        : make_failure(status, reason);
    this->answer_refused(exchange, request, response, reason);
}

void gateway_service::refuse_while_stopping(
    const std::shared_ptr<http_exchange>& exchange, const caller_request& request)
{
    const std::string reason = "this host is stopping and accepts no new requests";
    this->answer_refused(exchange, request, make_refusal(retry_elsewhere_after, reason), reason);
}

void gateway_service::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const time_point arrived = this->context.timers.now();
    const caller_request request = this->context.codec.decode_request(exchange->request());
    // Checked here because every request passes through. Closing listeners and idle connections leaves
    // connections that carry a request or the start of one, whose later requests would be cut off at the end
    // of the stop.
    if (this->context.stop.is_grace_over(arrived)) {
        this->refuse_while_stopping(exchange, request);
        return;
    }
    if (!this->can_route() && this->hold(exchange, request, arrived)) {
        return;
    }
    if (!this->bundle) {
        this->refuse_without_bundle(exchange, request);
        return;
    }
    this->judge(exchange, request, arrived);
}

bool gateway_service::can_route()
{
    this->had_current_bundle = this->had_current_bundle || (this->bundle && this->context.may_send());
    return this->had_current_bundle;
}

bool gateway_service::hold(
    const std::shared_ptr<http_exchange>& exchange, const caller_request& request, time_point arrived)
{
    const auto refuse = [this, exchange, request] { this->refuse_without_bundle(exchange, request); };
    const auto serve = [this, exchange, request, arrived, refuse] {
        if (exchange->has_caller_left()) {
            refuse(); // the caller has disconnected
            return;
        }
        this->judge(exchange, request, arrived);
    };
    const bool is_held = this->early.hold(serve, refuse);
    if (is_held) {
        this->context.log({event_type::held_at_entry, request.id.value(), "", "no configuration yet"});
    }
    return is_held;
}

void gateway_service::refuse_without_bundle(
    const std::shared_ptr<http_exchange>& exchange, const caller_request& request)
{
    this->refuse(exchange, request, http_status::unavailable, "no configuration yet");
}

void gateway_service::begin_stop(duration grace, duration answering)
{
    this->context.stop.begin(this->context.timers.now(), grace, answering);
    this->early.refuse_all();
}

void gateway_service::judge(
    const std::shared_ptr<http_exchange>& exchange, const caller_request& request, time_point arrived)
{
    delivery_order order;
    order.arrived = arrived;
    order.request = request;
    this->log_unreadable_headers(request);
    order.bundle = this->bundle;
    order.route = this->bundle->find_route(order.request.host, exchange->request().route());
    if (order.route == nullptr) {
        this->refuse(exchange, order.request, http_status::not_found, "no route for this host and path");
        return;
    }
    order.priority = order.route->priority;
    if (!this->admit(order)) {
        this->refuse(exchange, order.request, http_status::unauthorized, "unknown API key");
        return;
    }
    const std::optional<service_id> service = this->choose_service(*order.route);
    if (!service) {
        this->refuse(exchange, order.request, http_status::unavailable, "the route names no service to use");
        return;
    }
    order.service = *service;
    this->deliver(exchange, std::move(order));
}

void gateway_service::log_unreadable_headers(const caller_request& request)
{
    if (request.unreadable_headers.empty()) {
        return;
    }
    std::string names;
    for (const std::string& name : request.unreadable_headers) {
        names += (names.empty() ? "" : ", ") + name;
    }
    this->context.log({event_type::request_header_unreadable, request.id.value(), "", names});
}

bool gateway_service::admit(delivery_order& order) const
{
    if (!order.bundle->requires_key() || order.route->is_public) {
        return true;
    }
    const std::optional<std::string>& key = order.request.key;
    const account_entry* account = key ? order.bundle->find_account(*key) : nullptr;
    if (account == nullptr) {
        return false;
    }
    order.account = account->name;
    order.priority = account->priority ? account->priority : order.priority;
    return true;
}

std::optional<service_id> gateway_service::choose_service(const service_route& route) const
{
    double sum = 0;
    std::optional<service_id> last;
    for (const route_target& target : route.targets) {
        sum += target.weight;
        last = target.weight > 0 ? target.service : last;
    }
    constexpr double steps = 1e6;
    double left =
        sum * static_cast<double>(this->context.random() % static_cast<std::uint64_t>(steps)) / steps;
    for (const route_target& target : route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return last; // also where rounding leaves a remainder
}

caller_hooks gateway_service::make_caller_hooks(const std::shared_ptr<http_exchange>& exchange)
{
    caller_hooks caller;
    caller.respond = [exchange](http_response response) { exchange->respond(std::move(response)); };
    caller.start = [exchange](int status, const http_headers& headers) { exchange->start(status, headers); };
    caller.send = [exchange](std::string_view bytes) { exchange->send(bytes); };
    caller.finish = [exchange] { exchange->finish(); };
    caller.abort = [exchange] { exchange->abort(); };
    caller.has_left = [exchange] { return exchange->has_caller_left(); };
    return caller;
}

void gateway_service::visit_streams(const std::function<void(stream_delivery&)>& action) const
{
    std::vector<std::shared_ptr<stream_delivery>> streams;
    for (const auto& [key, running] : this->under_way) {
        if (std::shared_ptr<stream_delivery> stream = running.stream.lock()) {
            streams.push_back(std::move(stream));
        }
    }
    for (const std::shared_ptr<stream_delivery>& stream : streams) {
        action(*stream);
    }
}

void gateway_service::leave_upstreams(const std::vector<upstream_id>& ids)
{
    this->visit_streams([&ids](stream_delivery& stream) { stream.leave_upstreams(ids); });
}

void gateway_service::keep_upstream(const upstream_id& id)
{
    this->visit_streams([&id](stream_delivery& stream) { stream.keep_upstream(id); });
}

void gateway_service::leave_lost_connections(
    const std::function<std::optional<time_point>(const upstream_id&)>& unreachable_since)
{
    this->visit_streams(
        [&unreachable_since](stream_delivery& stream) { stream.leave_lost_connection(unreachable_since); });
}

void gateway_service::leave_given_up_layers()
{
    this->visit_streams([](stream_delivery& stream) { stream.leave_given_up_layers(); });
}

std::size_t gateway_service::end_for_stop()
{
    const time_point now = this->context.timers.now();
    std::size_t broken_off = 0;
    const std::map<std::uint64_t, active_request> last =
        this->under_way; // a copy: each request removes itself on its end
    for (const auto& [key, running] : last) {
        if (const std::shared_ptr<plain_delivery> plain = running.plain.lock()) {
            plain->end_for_stop();
        }
        if (const std::shared_ptr<stream_delivery> stream = running.stream.lock()) {
            const bool was_cut = stream->end_for_stop(this->context.stop.describe_cut(running.arrived, now));
            broken_off += was_cut ? 1 : 0;
        }
    }
    return broken_off;
}

void gateway_service::deliver(const std::shared_ptr<http_exchange>& exchange, delivery_order order)
{
    const std::uint64_t key = ++this->last_taken;
    const auto entry = this->under_way.emplace(key, active_request{order.arrived, {}, {}}).first;
    const auto on_done = [this, key] { this->under_way.erase(key); };
    caller_hooks caller = make_caller_hooks(exchange);
    if (order.route->kind == route_kind::stream) {
        const auto delivery =
            std::make_shared<stream_delivery>(this->context, std::move(order), std::move(caller), on_done);
        entry->second.stream = delivery;
        exchange->when_abandoned([delivery] { delivery->abandon(); });
        delivery->start();
        return;
    }
    const auto delivery =
        std::make_shared<plain_delivery>(this->context, std::move(order), std::move(caller), on_done);
    entry->second.plain = delivery;
    delivery->start();
}

} // namespace sailtiller
