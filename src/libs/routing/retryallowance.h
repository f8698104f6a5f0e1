// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <deque>
#include <map>
#include <optional>

namespace sailtiller {

/// The fleet's allowance of repeated sends.
struct retry_allowance_settings
{
    double ratio = 0; ///< repeats for each request of a window
    double slack = 0; ///< repeats of a window beyond these, over all hosts
    duration window = std::chrono::seconds(10);
};

/// This host's part of the fleet's allowance: its own requests earn `ratio` each, and the slack is split over
/// the live hosts. Only what was sent within the last window counts, so no span of that length exceeds it.
class retry_allowance
{
public:
    explicit retry_allowance(retry_allowance_settings settings)
        : settings(settings)
    {
    }

    void set_settings(const retry_allowance_settings& next) { this->settings = next; }
    /// This process has begun. What one of the same host sent before counts still, so there is no slack until
    /// a window has passed.
    void note_start(time_point now) { this->started = now; }
    /// Hosts over which the slack is split: all that may have sent something within the window.
    void set_sharing_hosts(std::size_t count) { this->sharing_hosts = count == 0 ? 1 : count; }
    [[nodiscard]] duration window() const { return this->settings.window; }
    /// A caller's request came; it earns its part of a repeat.
    void note_request(const service_id& service, time_point now);
    /// Takes one repeat if there is one left.
    [[nodiscard]] bool take(const service_id& service, time_point now);
    /// Repeats that could be taken now.
    [[nodiscard]] double left(const service_id& service, time_point now);

private:
    /// What was sent to one service within the last window.
    struct recent_sends
    {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };

    recent_sends& recent(const service_id& service, time_point now);

    retry_allowance_settings settings;
    std::size_t sharing_hosts = 1;
    std::optional<time_point> started;
    std::map<service_id, recent_sends> services;
};

} // namespace sailtiller
