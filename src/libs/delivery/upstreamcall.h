// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Callbacks for the answer of an upstream. They keep the delivery alive during its call.
struct answer_hooks
{
    std::function<void(int status, const http_headers&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void(call_ending, const std::string& reason)> on_end;
};

/// Current call of a delivery, if any. There is at most one at a time; callbacks of former calls are ignored.
class upstream_call
{
public:
    upstream_call(delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    /// Sends the order's request to an upstream.
    void start(const endpoint& address, const upstream_request& request, const answer_hooks& hooks);
    /// Cancels the call; none of its hooks is called afterwards.
    void end();
    /// Returns true if the current or most recent call was sent twice. Its upstream may have started the
    /// first copy, so that a refusal of the second one doesn't prove that the request was not run.
    [[nodiscard]] bool was_sent_again() const { return this->was_resent; }
    /// Returns true if the most recent call was withheld before its first byte was written, so that its end
    /// says nothing about the upstream.
    [[nodiscard]] bool was_held_back() const { return this->is_held_back; }
    /// Time at which the first copy of the current or most recent call was sent.
    [[nodiscard]] time_point sent_at() const { return this->first_sent; }
    /// Time at which the first byte was last written over a connection, which may be one to another host;
    /// empty before that.
    [[nodiscard]] std::optional<time_point> first_byte_at() const { return this->first_byte; }
    /// Serial number, incremented with each call that starts or is cancelled.
    [[nodiscard]] std::uint64_t number() const { return this->present; }

private:
    [[nodiscard]] http_call_handlers make_handlers(const answer_hooks& hooks);
    /// Decides on a resend after a kept connection was found closed.
    [[nodiscard]] bool take_resend();
    /// Called directly before the first byte is written, which may be long after the start of the call.
    [[nodiscard]] bool may_send_first_byte();

    delivery_context& context;
    const delivery_order& order;
    std::uint64_t present = 0;
    upstream_id target; ///< of the current call
    time_point first_sent{};
    std::optional<time_point> first_byte;
    bool was_resent = false;
    bool is_held_back = false;
    cancel_call cancel;
};

} // namespace sailtiller
