// SPDX-License-Identifier: Apache-2.0
#include "upstreamlink.h"

#include <base/error.h>
#include <platform/wireorder.h>
#include <platform/wirerequest.h>
#include <runtime/eventlog.h>
#include <runtime/wholecall.h>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// A connection within the site takes a millisecond; a lost opening packet is sent again after a second, so
/// another upstream is tried before that.
constexpr duration connect_limit = milliseconds(200);
/// Upstreams close connections at rest after some seconds; ours go first.
constexpr duration idle_time = milliseconds(2500);
/// Without answer by then, an order counts as unanswered and is sent again.
constexpr duration order_answer_limit = milliseconds(800);
/// An engine answers at once; a path that can't be changed in this time is late anyway.
constexpr duration path_change_limit = milliseconds(80);
/// An engine answers a probe in two milliseconds, or in ten where links are slow.
constexpr duration first_probe_limit = milliseconds(25);
constexpr duration second_probe_limit = milliseconds(25);

} // namespace

upstream_link::upstream_link(event_loop& loop)
    : loop(loop)
    , requests(platform::make_request_codec())
    , orders(platform::make_order_codec())
    , connections(loop, {.idle_time = idle_time})
{
}

cancel_call upstream_link::send(
    const endpoint& target, const http_request& request, bool may_repeat, http_call_handlers handlers)
{
    http_call_options options;
    options.connect_limit = connect_limit;
    options.pool = may_repeat ? &this->connections : nullptr;
    const std::shared_ptr<http_call> call =
        http_call::start(this->loop, target, request, options, std::move(handlers));
    return [call] { call->cancel(); };
}

void upstream_link::send_path_change(
    const path_change& change, const std::function<void(const path_change_answer&)>& on_answer)
{
    const http_request request = this->requests.encode_path_change(change);
    send_whole(this->loop, {change.address, request, path_change_limit, &this->connections},
        [this, on_answer](const std::optional<http_response>& answer) {
            on_answer(answer ? this->requests.decode_path_change(*answer) : path_change_answer{});
        });
}

engine_report upstream_link::read_report(const endpoint& target, const http_response& answer) const
{
    try {
        return this->orders.decode_report(answer);
    } catch (const error& malformed) {
        log_event(log_level::warning, "engine_report_unusable",
            {{"step", malformed.step()}, {"peer", target.value()}, {"reason", malformed.reason()}});
        return {};
    }
}

void upstream_link::probe(
    const endpoint& target, const std::function<void(const std::optional<engine_report>&)>& on_answer)
{
    const http_request question = this->orders.encode_probe(target);
    const auto take = [this, target, on_answer](
                          const http_response& answer) { on_answer(this->read_report(target, answer)); };
    // One lost packet must not condemn an upstream, so a second connection is tried before the limit.
    send_whole(this->loop, {target, question, first_probe_limit, &this->connections},
        [this, target, question, on_answer, take](const std::optional<http_response>& answer) {
            if (answer) {
                take(*answer);
                return;
            }
            send_whole(this->loop, {target, question, second_probe_limit, nullptr},
                [on_answer, take](const std::optional<http_response>& second) {
                    second ? take(*second) : on_answer(std::nullopt);
                });
        });
}

void upstream_link::send_order(const layer_order& order, const std::function<void(order_result)>& on_result)
{
    send_whole(this->loop, {order.address, this->orders.encode_order(order), order_answer_limit, nullptr},
        [this, on_result](const std::optional<http_response>& answer) {
            on_result(answer ? this->orders.decode_result(answer->status) : order_result::unanswered);
        });
}

} // namespace sailtiller
