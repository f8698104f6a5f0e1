// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// What a delivery does with the answer of an upstream. The hooks keep the delivery alive while its call is
/// under way.
struct answer_hooks
{
    std::function<void(int status, const http_headers&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void(call_ending, const std::string& reason)> on_end;
};

/// The call of a delivery that is under way, if there is one. A delivery has one at a time; what a former one
/// still says is not heard.
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
    /// Gives the call up; none of its hooks runs after this.
    void end();
    /// True if the present call, or the one that has just ended, went out a second time. Its upstream may
    /// have begun the first copy; that it refuses the second one proves nothing of that.
    [[nodiscard]] bool was_sent_again() const { return this->was_resent; }
    /// True if the call that has just ended was held back before its first byte left, so that its end tells
    /// nothing of its upstream.
    [[nodiscard]] bool was_held_back() const { return this->is_held_back; }
    /// When the first copy of the present call, or of the one that has just ended, went out.
    [[nodiscard]] time_point sent_at() const { return this->first_sent; }
    /// Rises with each call that begins or is given up.
    [[nodiscard]] std::uint64_t number() const { return this->present; }

private:
    [[nodiscard]] http_call_handlers make_handlers(const answer_hooks& hooks);
    /// Asked when a kept connection was found closed.
    [[nodiscard]] bool take_resend();
    /// Asked right before the first byte leaves, which may be long after the call began.
    [[nodiscard]] bool may_send_first_byte();

    delivery_context& context;
    const delivery_order& order;
    std::uint64_t present = 0;
    upstream_id target; ///< of the present call
    time_point first_sent{};
    bool was_resent = false;
    bool is_held_back = false;
    cancel_call cancel;
};

} // namespace sailtiller
