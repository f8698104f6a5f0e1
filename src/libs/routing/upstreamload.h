// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <optional>

namespace sailtiller {

/// When an upstream that answers badly is left alone, and for how long.
struct breaker_settings
{
    std::uint32_t failures_to_open = 3; ///< in a row, without a success between them
    duration first_pause = std::chrono::seconds(1);
    duration longest_pause = std::chrono::seconds(30);
    duration max_retry_after = std::chrono::minutes(10); ///< bound on an upstream's own Retry-After
};

enum class breaker_state {
    closed, ///< gets work
    open, ///< gets none until its pause is over
    half_open ///< gets one request at a time, to see whether it answers again
};

/// What one host knows of one upstream: what it has in flight there itself, and what the answers told.
class upstream_load
{
public:
    explicit upstream_load(breaker_settings settings);

    void note_sent();
    void note_finished();
    /// A good answer that took `time`.
    void note_success(duration time);
    /// A failure that speaks against the upstream: no connection, no answer in time, a server error.
    void note_failure(time_point now);
    /// The upstream asked to be left alone (429 or 503 with Retry-After). Only time ends that.
    void note_retry_after(time_point now, duration wait);
    /// The upstream reported its own load; hints age and are dropped when old.
    void note_report(time_point now, std::uint32_t streams_running);
    /// The upstream is leaving, or is back; while it leaves it gets no new work, whatever the breakers say.
    void set_leaving(bool is_leaving) { this->leaving = is_leaving; }
    [[nodiscard]] bool is_leaving() const { return this->leaving; }

    [[nodiscard]] breaker_state state(time_point now) const;
    /// True if the upstream leaves or has asked to be left alone: nothing new goes there, whatever the
    /// breakers say.
    [[nodiscard]] bool is_excluded(time_point now) const
    {
        return this->leaving || now < this->retry_after_end;
    }
    /// True if a new request may go there now: closed, or half open with no probe under way.
    [[nodiscard]] bool is_available(time_point now) const;
    [[nodiscard]] std::uint32_t in_flight() const { return this->own_in_flight; }
    /// The larger of what this host has in flight and a report that is not too old.
    [[nodiscard]] std::uint32_t expected_streams(time_point now) const;
    /// Smoothed time of good answers; empty before the first.
    [[nodiscard]] std::optional<duration> answer_time() const { return this->smoothed_time; }

private:
    breaker_settings settings;
    std::uint32_t own_in_flight = 0;
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t pauses_in_a_row = 0;
    bool is_tripped = false;
    bool leaving = false;
    time_point pause_end{};
    time_point retry_after_end{}; ///< of the wait that the upstream asked for
    std::optional<duration> smoothed_time;
    std::uint32_t reported_streams = 0;
    std::optional<time_point> reported_at;
};

} // namespace sailtiller
