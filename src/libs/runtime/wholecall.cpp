// SPDX-License-Identifier: Apache-2.0
#include <base/timetext.h>
#include <runtime/wholecall.h>

namespace sailtiller {

namespace {

/// What stays of a call until its answer is whole.
struct pending_answer
{
    http_response response;
    timer_id timer = 0;
};

whole_call_result make_result(call_ending ending, const http_response& response, const std::string& reason)
{
    switch (ending) {
    case call_ending::whole:
        return {response, {}};
    case call_ending::not_connected:
        return {std::nullopt, "no connection: " + reason};
    case call_ending::broken:
    case call_ending::relay_lost:
        break;
    }
    return {std::nullopt, "broken off: " + reason};
}

} // namespace

void collect_whole(event_loop& loop, duration limit,
    const std::function<std::function<void()>(http_call_handlers)>& start,
    const std::function<void(const whole_call_result&)>& on_end)
{
    const auto pending = std::make_shared<pending_answer>();
    http_call_handlers handlers;
    handlers.on_head = [pending](int status, const http_headers& headers) {
        pending->response.status = status;
        pending->response.headers = headers;
    };
    handlers.on_body = [pending](std::string_view bytes) { pending->response.body += bytes; };
    handlers.on_end = [&loop, pending, on_end](call_ending ending, const std::string& reason) {
        loop.cancel(pending->timer);
        on_end(make_result(ending, pending->response, reason));
    };
    handlers.may_resend = [] { return true; };
    const std::function<void()> cancel = start(std::move(handlers));
    pending->timer = loop.schedule_after(limit, [cancel, on_end, limit] {
        cancel();
        on_end({std::nullopt, "no answer within " + write_milliseconds(limit) + " ms"});
    });
}

void send_whole(
    event_loop& loop, const whole_call& call, const std::function<void(const whole_call_result&)>& on_end)
{
    const auto start = [&loop, &call](http_call_handlers handlers) {
        const http_call_options options{.connect_limit = call.connect_limit.value_or(call.limit),
            .pool = call.pool,
            .source = call.source,
            .on_connection = call.on_connection};
        const std::shared_ptr<http_call> exchange =
            http_call::start(loop, call.target, call.request, options, std::move(handlers));
        return [exchange] { exchange->give_up(); };
    };
    collect_whole(loop, call.limit, start, on_end);
}

} // namespace sailtiller
