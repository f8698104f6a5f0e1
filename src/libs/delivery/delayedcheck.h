// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>

#include <functional>

namespace sailtiller {

/// One-shot timer for a delivery's next check of a condition; at most one check is pending.
class delayed_check
{
public:
    explicit delayed_check(timer_hooks& timers)
        : timers(timers)
    {
    }

    /// Calls `look` after the pause and replaces a pending check.
    void schedule(duration pause, std::function<void()> look);
    /// Cancels a pending check.
    void cancel();

private:
    timer_hooks& timers;
    timer_id timer = 0;
};

} // namespace sailtiller
