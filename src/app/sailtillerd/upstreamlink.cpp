// SPDX-License-Identifier: Apache-2.0
#include "upstreamlink.h"

#include <base/error.h>
#include <platform/wireorder.h>
#include <platform/wirerequest.h>
#include <runtime/eventlog.h>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// A connection within the site takes a millisecond; a lost opening packet is sent again after a second, so
/// another upstream is tried before that.
constexpr duration connect_limit = milliseconds(200);
/// A connection at rest is kept until its upstream closes it, or for this long. A host sends an upstream a
/// request every second or two, so with 2.5 s one in two was a new connection.
constexpr duration idle_time = milliseconds(15'000);
/// Without answer by then, an order counts as unanswered and is sent again.
constexpr duration order_answer_limit = milliseconds(800);
/// An answer that comes after the verdict still revives the upstream; beyond this, nothing is waited for.
constexpr duration probe_limit = milliseconds(1000);

} // namespace

upstream_link::upstream_link(event_loop& loop, std::optional<endpoint> source, upstream_link_hooks hooks)
    : loop(loop)
    , source(std::move(source))
    , hooks(std::move(hooks))
    , requests(platform::make_request_codec())
    , orders(platform::make_order_codec())
    , connections(loop, {.idle_time = idle_time})
{
}

cancel_call upstream_link::send(
    const upstream_target& target, const http_request& request, bool may_repeat, http_call_handlers handlers)
{
    http_call_options options;
    options.connect_limit = connect_limit;
    options.pool = may_repeat ? &this->connections : nullptr;
    options.source = this->source;
    options.on_connection = [this, id = target.id](bool is_made) { this->hooks.on_connection(id, is_made); };
    const std::shared_ptr<http_call> call =
        http_call::start(this->loop, target.address, request, options, std::move(handlers));
    return [call] { call->cancel(); };
}

whole_call upstream_link::make_call(
    const upstream_target& target, http_request request, duration limit, connection_pool* pool) const
{
    return {target.address, std::move(request), limit, pool, this->source,
        [this, id = target.id](bool is_made) { this->hooks.on_connection(id, is_made); }};
}

void upstream_link::send_path_change(
    const path_change& change, const std::function<void(const path_change_answer&)>& on_answer)
{
    const http_request request = this->requests.encode_path_change(change);
    send_whole(this->loop,
        this->make_call({change.head, change.address}, request, change.limit, &this->connections),
        [this, on_answer](const whole_call_result& result) {
            on_answer(result.response
                    ? this->requests.decode_path_change(*result.response)
                    : path_change_answer{path_change_result::failed, std::nullopt, result.failure});
        });
}

engine_report upstream_link::read_report(const endpoint& target, const http_response& answer) const
{
    try {
        return this->orders.decode_report(answer);
    } catch (const error& malformed) {
        log_event(log_level::warning, event_type::engine_report_unusable,
            {{"step", malformed.step()}, {"peer", target.value()}, {"reason", malformed.reason()}});
        return {};
    }
}

void upstream_link::probe(const upstream_target& target, duration second_after,
    const std::function<void(const std::optional<engine_report>&)>& on_answer)
{
    const auto race = std::make_shared<probe_race>();
    race->on_answer = on_answer;
    this->send_probe(target, probe_limit, &this->connections, race);
    // One lost packet must not condemn an upstream, so a second connection is tried besides.
    this->loop.schedule_after(second_after, [this, target, second_after, race] {
        if (race->on_answer) {
            this->send_probe(target, probe_limit - second_after, nullptr, race);
        }
    });
}

void upstream_link::send_probe(const upstream_target& target, duration limit, connection_pool* pool,
    const std::shared_ptr<probe_race>& race)
{
    send_whole(this->loop,
        this->make_call(target, this->orders.encode_probe(target.address, target.id), limit, pool),
        [this, target, race](const whole_call_result& result) {
            const std::optional<http_response>& answer = result.response;
            --race->left;
            const bool is_over = answer || race->left == 0;
            if (!is_over || !race->on_answer) {
                return;
            }
            const auto on_end = std::move(race->on_answer);
            race->on_answer = nullptr;
            on_end(answer ? std::optional(this->read_report(target.address, *answer)) : std::nullopt);
        });
}

void upstream_link::send_order(const layer_order& order, const std::function<void(order_result)>& on_result)
{
    send_whole(this->loop,
        this->make_call(
            {order.id, order.address}, this->orders.encode_order(order), order_answer_limit, nullptr),
        [this, on_result](const whole_call_result& result) {
            on_result(result.response ? this->orders.decode_result(result.response->status)
                                      : order_result::unanswered);
        });
}

} // namespace sailtiller
