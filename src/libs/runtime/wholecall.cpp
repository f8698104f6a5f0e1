// SPDX-License-Identifier: Apache-2.0
#include <runtime/wholecall.h>

namespace sailtiller {

namespace {

/// What stays of a call until its answer is whole.
struct pending_answer
{
    http_response response;
    timer_id timer = 0;
};

} // namespace

void send_whole(event_loop& loop, const whole_call& call,
    const std::function<void(const std::optional<http_response>&)>& on_end)
{
    const auto pending = std::make_shared<pending_answer>();
    http_call_handlers handlers;
    handlers.on_head = [pending](int status, const http_headers& headers) {
        pending->response.status = status;
        pending->response.headers = headers;
    };
    handlers.on_body = [pending](std::string_view bytes) { pending->response.body += bytes; };
    handlers.on_end = [&loop, pending, on_end](call_ending ending, const std::string&) {
        loop.cancel(pending->timer);
        on_end(ending == call_ending::whole ? std::optional(pending->response) : std::nullopt);
    };
    handlers.may_resend = [] { return true; };
    const http_call_options options{.connect_limit = call.limit, .pool = call.pool};
    const std::shared_ptr<http_call> exchange =
        http_call::start(loop, call.target, call.request, options, std::move(handlers));
    pending->timer = loop.schedule_after(call.limit, [exchange, on_end] {
        exchange->give_up();
        on_end(std::nullopt);
    });
}

} // namespace sailtiller
