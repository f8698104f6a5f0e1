// SPDX-License-Identifier: Apache-2.0
#include <gateway/startupqueue.h>

#include <utility>

namespace sailtiller {

startup_queue::startup_queue(timer_hooks timers, std::function<bool()> is_ready, startup_queue_limits limits)
    : timers(std::move(timers))
    , is_ready(std::move(is_ready))
    , limits(limits)
    , started(this->timers.now())
{
}

bool startup_queue::hold(std::function<void()> serve, std::function<void()> refuse)
{
    if (this->timers.now() >= this->end() || this->waiting.size() >= this->limits.max_requests) {
        return false;
    }
    this->waiting.push_back({std::move(serve), std::move(refuse)});
    if (this->waiting.size() == 1) {
        this->timers.schedule_after(this->limits.look_interval, [this] { this->look(); });
    }
    return true;
}

void startup_queue::look()
{
    if (this->waiting.empty()) {
        return; // all have been refused since
    }
    if (this->is_ready()) {
        // Each by a timer of its own, so that a fault of one doesn't take the others with it.
        std::vector<queued_request> held = std::exchange(this->waiting, {});
        for (queued_request& item : held) {
            this->timers.schedule_after(duration::zero(), std::move(item.serve));
        }
        return;
    }
    if (this->timers.now() >= this->end()) {
        this->refuse_all();
        return;
    }
    this->timers.schedule_after(this->limits.look_interval, [this] { this->look(); });
}

void startup_queue::refuse_all()
{
    const std::vector<queued_request> held = std::exchange(this->waiting, {});
    for (const queued_request& item : held) {
        item.refuse();
    }
}

} // namespace sailtiller
