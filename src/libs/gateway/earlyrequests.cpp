// SPDX-License-Identifier: Apache-2.0
#include <gateway/earlyrequests.h>

namespace sailtiller {

early_requests::early_requests(timer_hooks timers, early_request_limits limits)
    : timers(std::move(timers))
    , limits(limits)
    , started(this->timers.now())
{
}

bool early_requests::hold(std::function<void()> serve, std::function<void()> refuse)
{
    const time_point end = this->started + this->limits.longest;
    const time_point now = this->timers.now();
    if (now >= end || this->waiting.size() >= this->limits.most) {
        return false;
    }
    if (this->waiting.empty()) {
        this->timers.schedule_after(end - now, [this] { this->refuse_all(); });
    }
    this->waiting.push_back({std::move(serve), std::move(refuse)});
    return true;
}

void early_requests::release()
{
    const std::vector<held_request> held = std::move(this->waiting);
    this->waiting.clear();
    for (const held_request& item : held) {
        item.serve();
    }
}

void early_requests::refuse_all()
{
    const std::vector<held_request> held = std::move(this->waiting);
    this->waiting.clear();
    for (const held_request& item : held) {
        item.refuse();
    }
}

} // namespace sailtiller
