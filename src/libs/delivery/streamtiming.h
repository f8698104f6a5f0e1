// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// How a stream's events came: the wait for the first, and the longest pause between two.
class stream_timing
{
public:
    explicit stream_timing(time_point arrived)
        : arrived(arrived)
    {
    }

    /// So many events were passed on to the caller at once, over this path.
    void record_forwarded(std::size_t count, time_point now, const layer_path& path);
    /// When the last event was passed on; zero before the first.
    [[nodiscard]] time_point last_event_at() const { return this->last_forwarded; }
    [[nodiscard]] std::size_t event_count() const { return this->events; }
    /// True if the first event or some later one came later than the route aims for.
    [[nodiscard]] bool is_late(const service_route& route) const;
    /// The path on which the longest pause was.
    [[nodiscard]] const std::string& slowest_path() const { return this->longest_pause_path; }
    [[nodiscard]] std::string describe() const;
    /// For the log of a stream that isn't whole: its events so far, and how long ago the last one was.
    [[nodiscard]] std::string describe_progress(time_point now) const;

private:
    time_point arrived;
    std::size_t events = 0;
    time_point last_forwarded{}; ///< zero before the first event
    duration first_event_delay{}; ///< from the request's arrival to its first event
    duration longest_pause{}; ///< between two events
    std::string longest_pause_path;
};

} // namespace sailtiller
