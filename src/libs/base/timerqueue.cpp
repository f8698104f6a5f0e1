// SPDX-License-Identifier: Apache-2.0
#include <base/timerqueue.h>

namespace sailtiller {

timer_id timer_queue::schedule(time_point due, std::function<void()> action)
{
    const timer_id timer = ++this->last_timer;
    this->timers.emplace(queue_key{due, timer}, std::move(action));
    this->due_times.emplace(timer, due);
    return timer;
}

void timer_queue::cancel(timer_id timer)
{
    const auto found = this->due_times.find(timer);
    if (found == this->due_times.end()) {
        return;
    }
    this->timers.erase(queue_key{found->second, timer});
    this->due_times.erase(found);
}

void timer_queue::run_due(time_point now)
{
    while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
        auto node = this->timers.extract(this->timers.begin());
        this->due_times.erase(node.key().second);
        node.mapped()();
    }
}

std::optional<time_point> timer_queue::next_due() const
{
    if (this->timers.empty()) {
        return std::nullopt;
    }
    return this->timers.begin()->first.first;
}

timer_hooks make_timer_hooks(timer_queue& queue, clock_function now)
{
    timer_hooks hooks;
    hooks.schedule_after = [&queue, now](duration delay, std::function<void()> action) {
        return queue.schedule(now() + delay, std::move(action));
    };
    hooks.cancel = [&queue](timer_id timer) { queue.cancel(timer); };
    hooks.now = now;
    return hooks;
}

} // namespace sailtiller
