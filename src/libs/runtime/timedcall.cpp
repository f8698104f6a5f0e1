// SPDX-License-Identifier: Apache-2.0
#include <runtime/timedcall.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Of the body of a refusal, for the log.
constexpr std::size_t max_quoted_bytes = 200;

/// What stays of a call until it ends by one of three ways.
struct pending_call
{
    timer_id timer = 0;
    http_client::call_id call = 0;
};

void handle_response(const http_response& response, const error_origin& origin,
    const std::vector<int>& accepted, const std::function<void(const http_response&)>& on_answer,
    const std::function<void(const error&)>& on_failure)
{
    try {
        if (std::find(accepted.begin(), accepted.end(), response.status) == accepted.end()) {
            throw error(origin,
                "status " + std::to_string(response.status) + ": "
                    + response.body.substr(0, max_quoted_bytes));
        }
        on_answer(response);
    } catch (const error& failure) {
        on_failure(failure);
    } catch (const std::exception& failure) {
        // Whoever waits for the answer goes on by one of the two handlers.
        on_failure(error(origin, failure.what()));
    }
}

} // namespace

void send_timed(event_loop& loop, http_client& client, const timed_call& call,
    std::function<void(const http_response&)> on_answer, std::function<void(const error&)> on_failure)
{
    const auto pending = std::make_shared<pending_call>();
    const error_origin origin = call.origin;
    pending->timer = loop.schedule_after(call.limit, [&client, pending, origin, on_failure] {
        client.give_up(pending->call);
        on_failure(error(origin, "no answer within the time limit"));
    });
    pending->call = client.send(
        call.target, call.request,
        [&loop, pending, origin, accepted = call.accepted, on_answer, on_failure](
            const http_response& response) {
            loop.cancel(pending->timer);
            handle_response(response, origin, accepted, on_answer, on_failure);
        },
        [&loop, pending, origin, on_failure](const http_failure& failure) {
            loop.cancel(pending->timer);
            on_failure(error(origin, failure.step + ": " + failure.reason));
        },
        {call.max_body_bytes});
}

} // namespace sailtiller
