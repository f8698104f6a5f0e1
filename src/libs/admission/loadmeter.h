// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <admission/decayingsum.h>
#include <base/loadsummary.h>

#include <set>

namespace sailtiller {

/// Measures the load of a service by this host's own requests.
class load_meter
{
public:
    /// Sets the delay from which a first event is slow.
    void set_slow_delay(duration delay) { this->slow_delay = delay; }
    void note_arrival(const request_class& kind, time_point now);
    /// Notes that a request sent at `now` waits for its first event.
    void begin_wait(time_point now);
    /// Ends the wait of a request sent at `sent`; `has_event` tells whether its first event has come.
    void end_wait(time_point sent, bool has_event, time_point now);
    [[nodiscard]] load_summary summary(time_point now) const;

private:
    std::map<request_class, decaying_sum> arrivals;
    decaying_sum first_events;
    decaying_sum slow_first_events;
    std::multiset<time_point> waiting; ///< times at which these were sent
    duration slow_delay = duration::max();
};

} // namespace sailtiller
