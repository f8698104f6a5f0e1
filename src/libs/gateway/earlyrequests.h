// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>

#include <functional>
#include <vector>

namespace sailtiller {

/// How long requests may wait for a host's first configuration, and how many.
struct early_request_limits
{
    /// Counted from the host's start. Reading the first configuration from the store takes 0.4 to 0.6 s on an
    /// eighth of a core; a store that has not answered by then may be away for long.
    duration longest = std::chrono::milliseconds(1500);
    /// A request of a few kilobytes and its connection take some 10 kB.
    std::size_t most = 512;
};

/// Requests that came before the host had a configuration. After all hosts were down, their callers come back
/// at once, and many of them don't try a second time: of 64 hosts that were killed together, 536 requests
/// were refused in the 0.4 s until the configuration was read.
class early_requests
{
public:
    early_requests(timer_hooks timers, early_request_limits limits);

    /// Holds a request until `release` or `refuse_all`. Returns false, and does nothing, if it must not wait.
    bool hold(std::function<void()> serve, std::function<void()> refuse);
    /// The host has a configuration: serves what waits, in the order in which it came.
    void release();
    /// The host can't serve what waits, and has no time left for it.
    void refuse_all();
    [[nodiscard]] std::size_t count() const { return this->waiting.size(); }

private:
    struct held_request
    {
        std::function<void()> serve;
        std::function<void()> refuse;
    };

    timer_hooks timers;
    early_request_limits limits;
    time_point started;
    std::vector<held_request> waiting;
};

} // namespace sailtiller
