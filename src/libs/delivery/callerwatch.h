// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Ends a delivery at the request's time limit or when the caller disconnects. The callbacks keep the
/// delivery alive until `stop` is called.
class caller_watch
{
public:
    explicit caller_watch(delivery_context& context)
        : context(context)
    {
    }

    /// Calls `on_limit` at the order's deadline, and `on_left` when a periodic check finds `has_left` true.
    void start(const delivery_order& order, std::function<bool()> has_left, std::function<void()> on_limit,
        std::function<void()> on_left);
    /// Cancels both callbacks.
    void stop();

private:
    void schedule_poll(const std::function<bool()>& has_left, const std::function<void()>& on_left);

    delivery_context& context;
    timer_id limit_timer = 0;
    timer_id poll_timer = 0;
};

} // namespace sailtiller
