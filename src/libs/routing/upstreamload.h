// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <optional>

namespace sailtiller {

/// Settings of the circuit breaker of an upstream.
struct breaker_settings
{
    std::uint32_t failures_to_open = 3; ///< consecutive failures that open the breaker
    duration first_pause = std::chrono::seconds(1);
    duration longest_pause = std::chrono::seconds(30);
    duration max_retry_after = std::chrono::minutes(10); ///< upper bound of an upstream's Retry-After
};

enum class breaker_state {
    closed, ///< requests are sent
    open, ///< no requests until the pause is over
    half_open ///< one request at a time as a probe
};

/// Load and circuit breaker of one upstream as one host sees them, from its own requests and their answers.
class upstream_load
{
public:
    explicit upstream_load(breaker_settings settings);

    void note_sent();
    void note_finished();
    /// Notes a successful answer that took `time`. Closes the breaker.
    void note_success(duration time);
    /// Notes a failure attributed to the upstream: no connection, no answer in time, or a server error.
    void note_failure(time_point now);
    /// Notes a Retry-After of the upstream (with 429 or 503). It ends by its time alone.
    void note_retry_after(time_point now, duration wait);
    /// Notes the number of running streams that the upstream reported. It is ignored once it is too old.
    void note_report(time_point now, std::uint32_t streams_running);
    /// Sets whether the upstream is leaving. A leaving upstream gets no new requests in any breaker state.
    void set_leaving(bool is_leaving) { this->leaving = is_leaving; }
    [[nodiscard]] bool is_leaving() const { return this->leaving; }

    [[nodiscard]] breaker_state state(time_point now) const;
    /// Returns whether the upstream is leaving or within a Retry-After: it gets no new requests in any
    /// breaker state.
    [[nodiscard]] bool is_excluded(time_point now) const
    {
        return this->leaving || now < this->retry_after_end;
    }
    /// Returns whether a new request may be sent now: not excluded, and the breaker is closed, or half open
    /// with no request in flight.
    [[nodiscard]] bool is_available(time_point now) const;
    [[nodiscard]] std::uint32_t in_flight() const { return this->own_in_flight; }
    /// Returns the larger of this host's requests in flight and the upstream's report, if that is recent.
    [[nodiscard]] std::uint32_t expected_streams(time_point now) const;
    /// Returns the smoothed time of successful answers; nothing before the first one.
    [[nodiscard]] std::optional<duration> answer_time() const { return this->smoothed_time; }

private:
    breaker_settings settings;
    std::uint32_t own_in_flight = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_pauses = 0;
    bool is_tripped = false;
    bool leaving = false;
    time_point pause_end{};
    time_point retry_after_end{};
    std::optional<duration> smoothed_time;
    std::uint32_t reported_streams = 0;
    std::optional<time_point> reported_at;
};

} // namespace sailtiller
