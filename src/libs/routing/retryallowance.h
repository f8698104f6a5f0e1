// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <deque>
#include <map>
#include <optional>

namespace sailtiller {

/// Limit of the retries that all hosts together may send.
struct retry_allowance_settings
{
    double ratio = 0; ///< retries per request of a window
    double slack = 0; ///< further retries per window, over all hosts
    duration window = std::chrono::seconds(10);
};

/// This host's share of the fleet's retry allowance. Each of its requests earns `ratio` of a retry, and the
/// slack is divided among the live hosts. Only sends within the last window count, so no interval of that
/// length exceeds the allowance.
class retry_allowance
{
public:
    explicit retry_allowance(retry_allowance_settings settings)
        : settings(settings)
    {
    }

    void set_settings(const retry_allowance_settings& next) { this->settings = next; }
    /// Notes the start of this process. Retries of an earlier process of this host still count, so there is
    /// no slack until a window has passed.
    void note_start(time_point now) { this->started = now; }
    /// Sets the number of hosts that share the slack: all that may have sent a retry within the window.
    void set_sharing_hosts(std::size_t count) { this->sharing_hosts = count == 0 ? 1 : count; }
    [[nodiscard]] duration window() const { return this->settings.window; }
    /// Notes a request from a caller, which earns `ratio` of a retry.
    void note_request(const service_id& service, time_point now);
    /// Consumes one retry if one is available, and returns whether it did.
    [[nodiscard]] bool take(const service_id& service, time_point now);
    /// Returns the number of retries available now; negative if the allowance is exceeded.
    [[nodiscard]] double left(const service_id& service, time_point now);
    /// Returns the number of retries available now to requests that engines have only refused, so that their
    /// callers may be asked to return. A part of the allowance is kept for requests that have run.
    [[nodiscard]] double left_for_refused(const service_id& service, time_point now);

private:
    /// Sends to one service within the last window.
    struct recent_sends
    {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };

    recent_sends& recent(const service_id& service, time_point now);
    /// Returns the retries that this host may send within the window.
    [[nodiscard]] double total(const recent_sends& sends, time_point now) const;

    retry_allowance_settings settings;
    std::size_t sharing_hosts = 1;
    std::optional<time_point> started;
    std::map<service_id, recent_sends> services;
};

} // namespace sailtiller
