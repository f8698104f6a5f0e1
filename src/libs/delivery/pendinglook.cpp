// SPDX-License-Identifier: Apache-2.0
#include <delivery/pendinglook.h>

#include <utility>

namespace sailtiller {

void pending_look::schedule(duration pause, std::function<void()> look)
{
    this->cancel();
    this->timer = this->timers.schedule_after(pause, std::move(look));
}

void pending_look::cancel()
{
    this->timers.cancel(this->timer);
}

} // namespace sailtiller
