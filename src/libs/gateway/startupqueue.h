// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>

#include <functional>
#include <vector>

namespace sailtiller {

/// Bounds for requests that wait until the host is ready.
struct startup_queue_limits
{
    /// Longest wait, counted from the host's start. Reading the first configuration from the store takes 0.4
    /// to 0.6 s on an eighth of a core; a store that has not answered by then may stay unavailable for long.
    duration max_wait = std::chrono::milliseconds(1500);
    /// A request of a few kilobytes takes about 10 kB together with its connection.
    std::size_t max_requests = 512;
    /// Interval between checks whether the host is ready.
    duration look_interval = std::chrono::milliseconds(20);
};

/// Queue of requests that arrive before the host has a configuration confirmed as the newest. After all hosts
/// were down, callers reconnect at once, and many do not retry: when 64 hosts were killed together, 536
/// requests were refused in the 0.4 s until the configuration was read.
class startup_queue
{
public:
    /// `is_ready` returns true once the host can route requests.
    startup_queue(timer_hooks timers, std::function<bool()> is_ready, startup_queue_limits limits);

    /// Queues a request until the host is ready; requests are then served in the order of their arrival.
    /// Returns false, and does nothing, if the wait time is over or the queue is full.
    bool hold(std::function<void()> serve, std::function<void()> refuse);
    /// Refuses all queued requests.
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
