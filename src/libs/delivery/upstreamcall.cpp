// SPDX-License-Identifier: Apache-2.0
#include <delivery/upstreamcall.h>
#include <delivery/upstreamgate.h>

namespace sailtiller {

void upstream_call::start(const endpoint& address, const upstream_request& request, const answer_hooks& hooks)
{
    ++this->present;
    this->was_resent = false;
    this->is_held_back = false;
    this->target = request.target;
    this->first_sent = this->context.timers.now();
    this->first_byte.reset();
    const http_request message = this->context.codec.encode_request(this->order.request, request);
    this->cancel = this->context.send({request.target, address, this->order.request.id}, message,
        this->order.route->may_repeat(), this->make_handlers(hooks));
}

http_call_handlers upstream_call::make_handlers(const answer_hooks& hooks)
{
    const auto is_present = [this, number = this->present] { return this->present == number; };
    http_call_handlers handlers;
    handlers.may_send = [this, is_present] { return is_present() && this->may_send_first_byte(); };
    if (this->order.route->may_repeat()) {
        handlers.may_resend = [this, is_present] { return is_present() && this->take_resend(); };
    }
    handlers.on_head = [is_present, on_head = hooks.on_head](int status, const http_headers& headers) {
        if (is_present()) {
            on_head(status, headers);
        }
    };
    handlers.on_body = [is_present, on_body = hooks.on_body](std::string_view bytes) {
        if (is_present()) {
            on_body(bytes);
        }
    };
    handlers.on_end = [this, is_present, on_end = hooks.on_end](
                          call_ending ending, const std::string& reason) {
        if (is_present()) {
            this->cancel = nullptr;
            on_end(ending, reason);
        }
    };
    return handlers;
}

bool upstream_call::may_send_first_byte()
{
    const time_point now = this->context.timers.now();
    this->is_held_back = this->context.pauses.is_paused(this->target, now) || !this->context.may_send();
    if (!this->is_held_back) {
        this->first_byte = now;
    }
    return !this->is_held_back;
}

bool upstream_call::take_resend()
{
    const time_point now = this->context.timers.now();
    const bool had_it = now - this->first_sent > this->context.settings.max_resend_delay;
    const bool may_go = !had_it && upstream_gate(this->context, this->order).take(this->target);
    if (!may_go || !this->context.retries.take(this->order.service, now)) {
        return false;
    }
    this->was_resent = true;
    return true;
}

void upstream_call::end()
{
    ++this->present;
    if (this->cancel) {
        const cancel_call action = std::move(this->cancel);
        this->cancel = nullptr;
        action();
    }
}

} // namespace sailtiller
