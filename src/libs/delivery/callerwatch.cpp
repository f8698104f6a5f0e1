// SPDX-License-Identifier: Apache-2.0
#include <delivery/callerwatch.h>

namespace sailtiller {

void caller_watch::start(const delivery_order& order, std::function<bool()> has_left,
    std::function<void()> on_limit, std::function<void()> on_left)
{
    const duration left = order.deadline() - this->context.timers.now();
    this->limit_timer = this->context.timers.schedule_after(left, std::move(on_limit));
    this->schedule_poll(has_left, on_left);
}

void caller_watch::schedule_poll(const std::function<bool()>& has_left, const std::function<void()>& on_left)
{
    this->poll_timer =
        this->context.timers.schedule_after(this->context.settings.look_interval, [this, has_left, on_left] {
            if (has_left()) {
                on_left();
                return;
            }
            this->schedule_poll(has_left, on_left);
        });
}

void caller_watch::stop()
{
    this->context.timers.cancel(this->limit_timer);
    this->context.timers.cancel(this->poll_timer);
}

} // namespace sailtiller
