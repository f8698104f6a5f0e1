// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Ends a delivery from the caller's side: at the request's time limit, or once the caller has left.
/// What it is given keeps the delivery alive until the watch is stopped.
class caller_watch
{
public:
    explicit caller_watch(delivery_context& context)
        : context(context)
    {
    }

    /// Runs `on_limit` at the order's deadline, and `on_left` when `has_left` is true at a look.
    void start(const delivery_order& order, std::function<bool()> has_left, std::function<void()> on_limit,
        std::function<void()> on_left);
    /// Neither runs after this.
    void stop();

private:
    void schedule_poll(const std::function<bool()>& has_left, const std::function<void()>& on_left);

    delivery_context& context;
    timer_id limit_timer = 0;
    timer_id poll_timer = 0;
};

} // namespace sailtiller
