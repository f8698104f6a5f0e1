// SPDX-License-Identifier: Apache-2.0
#include <gateway/earlyrequests.h>

#include <utility>

namespace sailtiller {

early_requests::early_requests(
    timer_hooks timers, std::function<bool()> is_ready, early_request_limits limits)
    : timers(std::move(timers))
    , is_ready(std::move(is_ready))
    , limits(limits)
    , started(this->timers.now())
{
}

bool early_requests::hold(std::function<void()> serve, std::function<void()> refuse)
{
    if (this->timers.now() >= this->end() || this->waiting.size() >= this->limits.most) {
        return false;
    }
    this->waiting.push_back({std::move(serve), std::move(refuse)});
    if (this->waiting.size() == 1) {
        this->timers.schedule_after(this->limits.look_interval, [this] { this->look(); });
    }
    return true;
}

void early_requests::look()
{
    if (this->waiting.empty()) {
        return; // all were refused meanwhile
    }
    if (this->is_ready()) {
        const std::vector<held_request> held = std::exchange(this->waiting, {});
        for (const held_request& item : held) {
            item.serve();
        }
        return;
    }
    if (this->timers.now() >= this->end()) {
        this->refuse_all();
        return;
    }
    this->timers.schedule_after(this->limits.look_interval, [this] { this->look(); });
}

void early_requests::refuse_all()
{
    const std::vector<held_request> held = std::exchange(this->waiting, {});
    for (const held_request& item : held) {
        item.refuse();
    }
}

} // namespace sailtiller
