// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>

#include <functional>

namespace sailtiller {

/// The next look of a delivery at something that may change; one at a time.
class delayed_check
{
public:
    explicit delayed_check(timer_hooks& timers)
        : timers(timers)
    {
    }

    /// Runs `look` after the pause, in place of a look that was still ahead.
    void schedule(duration pause, std::function<void()> look);
    /// No look is ahead any more.
    void cancel();

private:
    timer_hooks& timers;
    timer_id timer = 0;
};

} // namespace sailtiller
