// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace sailtiller {

/// Identifies a scheduled timer; 0 is never given out.
using timer_id = std::uint64_t;

/// Timers of any length over one clock. The loop runs what is due; tests advance the time themselves.
class timer_queue
{
public:
    /// Runs `action` once at `due`; timers of the same time run in the order of their scheduling.
    timer_id schedule(time_point due, std::function<void()> action);
    /// Forgets a timer; a timer that has run or is unknown is ignored.
    void cancel(timer_id timer);
    /// Runs every timer that is due at `now`, also those that these timers schedule for `now` or earlier.
    void run_due(time_point now);
    [[nodiscard]] std::optional<time_point> next_due() const;
    [[nodiscard]] std::size_t size() const { return this->timers.size(); }

private:
    using queue_key = std::pair<time_point, timer_id>;

    std::map<queue_key, std::function<void()>> timers;
    std::unordered_map<timer_id, time_point> due_times;
    timer_id last_timer = 0;
};

/// How the core schedules: given by the loop, or by a test's own queue.
struct timer_hooks
{
    std::function<timer_id(duration, std::function<void()>)> schedule_after;
    std::function<void(timer_id)> cancel;
    clock_function now;
};

/// Hooks over a queue and a clock that the caller keeps alive longer than the hooks.
timer_hooks make_timer_hooks(timer_queue& queue, clock_function now);

} // namespace sailtiller
