// SPDX-License-Identifier: Apache-2.0
#include <delivery/limitedwait.h>

#include <algorithm>

namespace sailtiller {

void limited_wait::look_again(duration pause, std::function<void()> look)
{
    const time_point now = this->context.timers.now();
    if (!this->bound) {
        this->bound = now + this->context.settings.longest_wait_under_way;
    }
    this->context.timers.cancel(this->timer);
    const duration left = std::max(*this->bound - now, duration::zero());
    // Past the bound, whoever looks has a reason of its own to go on.
    const duration until_look = left == duration::zero() ? pause : std::min(pause, left);
    this->timer = this->context.timers.schedule_after(until_look, std::move(look));
}

bool limited_wait::is_over() const
{
    return this->bound && this->context.timers.now() >= *this->bound;
}

void limited_wait::end()
{
    this->bound.reset();
    this->context.timers.cancel(this->timer);
}

} // namespace sailtiller
