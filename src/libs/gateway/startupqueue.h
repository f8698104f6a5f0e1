// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>

#include <functional>
#include <vector>

namespace sailtiller {

/// How long requests may wait until a host can judge them, and how many.
struct startup_queue_limits
{
    /// Counted from the host's start. Reading the first configuration from the store takes 0.4 to 0.6 s on an
    /// eighth of a core; a store that has not answered by then may be away for long.
    duration max_wait = std::chrono::milliseconds(1500);
    /// A request of a few kilobytes and its connection take some 10 kB.
    std::size_t max_requests = 512;
    /// Between two looks at whether the host can judge them now.
    duration look_interval = std::chrono::milliseconds(20);
};

/// Requests that came before the host had a configuration that it knows to be the newest. After all hosts
/// were down, their callers come back at once, and many of them don't try a second time: of 64 hosts that
/// were killed together, 536 requests were refused in the 0.4 s until the configuration was read.
class startup_queue
{
public:
    /// `is_ready`: true once the host can judge requests.
    startup_queue(timer_hooks timers, std::function<bool()> is_ready, startup_queue_limits limits);

    /// Holds a request until the host is ready; what waits is then served in the order in which it came.
    /// Returns false, and does nothing, if it must not wait.
    bool hold(std::function<void()> serve, std::function<void()> refuse);
    /// Nothing that waits can be served any more.
    void refuse_all();
    [[nodiscard]] std::size_t count() const { return this->waiting.size(); }

private:
    struct queued_request
    {
        std::function<void()> serve;
        std::function<void()> refuse;
    };

    void look();
    [[nodiscard]] time_point end() const { return this->started + this->limits.max_wait; }

    timer_hooks timers;
    std::function<bool()> is_ready;
    startup_queue_limits limits;
    time_point started;
    std::vector<queued_request> waiting;
};

} // namespace sailtiller
