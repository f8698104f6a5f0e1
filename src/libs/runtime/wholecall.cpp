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
    std::function<void()> cancel; ///< empty once the call has ended, as it refers to this
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

void collect_whole(event_loop& loop, const whole_answer_limits& limits,
    const std::function<std::function<void()>(http_call_handlers)>& start,
    const std::function<void(const whole_call_result&)>& on_end)
{
    const auto pending = std::make_shared<pending_answer>();
    const auto end = [&loop, pending, on_end](const whole_call_result& result) {
        loop.cancel(pending->timer);
        pending->cancel = nullptr;
        on_end(result);
    };
    const auto give_up = [pending, end](const std::string& reason) {
        const std::function<void()> cancel = std::move(pending->cancel);
        cancel();
        end({std::nullopt, reason});
    };
    http_call_handlers handlers;
    handlers.on_head = [pending](int status, const http_headers& headers) {
        pending->response.status = status;
        pending->response.headers = headers;
    };
    handlers.on_body = [pending, give_up, limits](std::string_view bytes) {
        std::string& body = pending->response.body;
        if (bytes.size() <= limits.max_body_bytes - body.size()) {
            body += bytes;
            return;
        }
        if (limits.on_fault) {
            limits.on_fault(answer_fault::body_bytes);
        }
        give_up("the body exceeds " + std::to_string(limits.max_body_bytes) + " bytes");
    };
    handlers.on_end = [pending, end](call_ending ending, const std::string& reason) {
        end(make_result(ending, pending->response, reason));
    };
    handlers.may_resend = [] { return true; };
    pending->cancel = start(std::move(handlers));
    pending->timer = loop.schedule_after(limits.time,
        [give_up, limits] { give_up("no answer within " + write_milliseconds(limits.time) + " ms"); });
}

void send_whole(
    event_loop& loop, const whole_call& call, const std::function<void(const whole_call_result&)>& on_end)
{
    const auto start = [&loop, &call](http_call_handlers handlers) {
        const http_call_options options{.connect_limit = call.connect_limit.value_or(call.limit),
            .pool = call.pool,
            .source = call.source,
            .on_connection = call.on_connection,
            .on_fault = call.on_fault};
        const std::shared_ptr<http_call> exchange =
            http_call::start(loop, call.target, call.request, options, std::move(handlers));
        return [exchange] { exchange->give_up(); };
    };
    collect_whole(loop, {call.limit, call.max_body_bytes, call.on_fault}, start, on_end);
}

} // namespace sailtiller
