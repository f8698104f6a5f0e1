// SPDX-License-Identifier: Apache-2.0
#include <delivery/delayedcheck.h>

#include <utility>

namespace sailtiller {

void delayed_check::schedule(duration pause, std::function<void()> look)
{
    this->cancel();
    this->timer = this->timers.schedule_after(pause, std::move(look));
}

void delayed_check::cancel()
{
    this->timers.cancel(this->timer);
}

} // namespace sailtiller
