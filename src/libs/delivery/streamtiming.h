// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Timing of a stream's events: the delay of the first event and the longest pause between two.
class stream_timing
{
public:
    explicit stream_timing(time_point arrived)
        : arrived(arrived)
    {
    }

    /// Records that `count` events received over this path were forwarded to the caller together.
    void record_forwarded(std::size_t count, time_point now, const layer_path& path);
    /// Time at which the last event was forwarded; zero before the first.
    [[nodiscard]] time_point last_event_at() const { return this->last_forwarded; }
    [[nodiscard]] std::size_t event_count() const { return this->events; }
    /// Returns true if any event came later than the route's target.
    [[nodiscard]] bool is_late(const service_route& route) const;
    /// Path on which the longest pause occurred.
    [[nodiscard]] const std::string& slowest_path() const { return this->longest_pause_path; }
    [[nodiscard]] std::string describe() const;
    /// Returns the number of events and the age of the last one, for the log of an incomplete stream.
    [[nodiscard]] std::string describe_progress(time_point now) const;

private:
    time_point arrived;
    std::size_t events = 0;
    time_point last_forwarded{}; ///< zero before the first event
    duration first_event_delay{}; ///< from the arrival of the request to its first event
    duration longest_pause{}; ///< between two events
    std::string longest_pause_path;
};

} // namespace sailtiller
