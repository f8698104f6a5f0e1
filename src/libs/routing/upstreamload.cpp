// SPDX-License-Identifier: Apache-2.0
#include <routing/upstreamload.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Older reports say nothing about the current load.
constexpr duration report_lifetime = std::chrono::seconds(5);
/// The newest answer has a weight of 1 / 8 in the smoothed time, as in TCP's round-trip estimate (RFC 6298).
constexpr std::int64_t smoothing_divisor = 8;
/// Bounds the shift that doubles the pause.
constexpr std::uint32_t max_doublings = 16;

} // namespace

upstream_load::upstream_load(breaker_settings settings)
    : settings(settings)
{
}

void upstream_load::note_sent()
{
    ++this->own_in_flight;
}

void upstream_load::note_finished()
{
    if (this->own_in_flight > 0) {
        --this->own_in_flight;
    }
}

void upstream_load::note_success(duration time)
{
    this->consecutive_failures = 0;
    this->consecutive_pauses = 0;
    this->is_tripped = false;
    if (this->smoothed_time) {
        *this->smoothed_time += (time - *this->smoothed_time) / smoothing_divisor;
    } else {
        this->smoothed_time = time;
    }
}

void upstream_load::note_failure(time_point now)
{
    ++this->consecutive_failures;
    const bool was_probe = this->state(now) == breaker_state::half_open;
    if (!was_probe && this->consecutive_failures < this->settings.failures_to_open) {
        return;
    }
    const std::uint32_t doublings = std::min(this->consecutive_pauses, max_doublings);
    const duration pause = this->settings.first_pause * (std::int64_t{1} << doublings);
    this->is_tripped = true;
    this->pause_end = std::max(this->pause_end, now + std::min(pause, this->settings.longest_pause));
    ++this->consecutive_pauses;
}

void upstream_load::note_retry_after(time_point now, duration wait)
{
    this->retry_after_end =
        std::max(this->retry_after_end, now + std::min(wait, this->settings.max_retry_after));
    this->is_tripped = true;
    this->pause_end = std::max(this->pause_end, this->retry_after_end);
}

void upstream_load::note_report(time_point now, std::uint32_t streams_running)
{
    this->reported_streams = streams_running;
    this->reported_at = now;
}

breaker_state upstream_load::state(time_point now) const
{
    if (!this->is_tripped) {
        return breaker_state::closed;
    }
    return now < this->pause_end ? breaker_state::open : breaker_state::half_open;
}

bool upstream_load::is_available(time_point now) const
{
    if (this->is_excluded(now)) {
        return false;
    }
    switch (this->state(now)) {
    case breaker_state::closed:
        return true;
    case breaker_state::open:
        return false;
    case breaker_state::half_open:
        return this->own_in_flight == 0;
    }
    return false;
}

std::uint32_t upstream_load::expected_streams(time_point now) const
{
    const bool is_fresh = this->reported_at && now - *this->reported_at < report_lifetime;
    return is_fresh ? std::max(this->own_in_flight, this->reported_streams) : this->own_in_flight;
}

} // namespace sailtiller
