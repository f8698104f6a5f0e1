// SPDX-License-Identifier: Apache-2.0
#include <health/silencemodel.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Objective for the first event if the route promises none.
constexpr duration unpromised_first = std::chrono::milliseconds(500);
/// Lower bound of the predicted time of a token; prevents a division by zero for profiles without step times.
constexpr duration least_token = std::chrono::microseconds(100);
/// A gap of 1.5 times the mean is still no sign of a fault.
constexpr double slow_gap_factor = 1.5;

double token_us(const stream_expectation& expected)
{
    return static_cast<double>(std::max(expected.token, least_token).count());
}

duration to_duration(double microseconds)
{
    return duration(static_cast<duration::rep>(microseconds));
}

duration first_objective(const stream_expectation& expected)
{
    return expected.first_objective > duration::zero() ? expected.first_objective : unpromised_first;
}

} // namespace

duration promised_pause(duration route_pause)
{
    constexpr duration unpromised_pause = std::chrono::milliseconds(250);
    return route_pause > duration::zero() ? route_pause : unpromised_pause;
}

duration silence_model::max_silence(const stream_expectation& expected, double mean_gap)
{
    const duration pause = promised_pause(expected.longest_pause);
    return std::clamp(to_duration(slow_gap_factor * mean_gap), pause / 2, pause);
}

running_estimate silence_model::expect_gap(const stream_expectation& expected) const
{
    if (!this->gap_ratio.has_value()) {
        // No gap was observed yet: the maximum silence is tolerated.
        const auto most = static_cast<double>(max_silence(expected, 0).count());
        return {most / 2, most / 4};
    }
    const double token = token_us(expected);
    return {this->gap_ratio.mean() * token, this->gap_ratio.deviation() * token};
}

void silence_model::note_gap(const stream_expectation& expected, duration gap)
{
    this->gap_ratio.note(static_cast<double>(gap.count()) / token_us(expected));
}

duration silence_model::first_event_limit(const stream_expectation& expected) const
{
    const duration objective = first_objective(expected);
    const duration excess = this->first_excess.has_value()
        ? to_duration(std::max(0.0, this->first_excess.bound(timeout_deviations)))
        : objective / 4;
    // Long prompts extend the limit; otherwise half of the objective is left for another path.
    return std::min(expected.reading + excess, std::max(objective / 2, 2 * expected.reading));
}

void silence_model::note_first_event(const stream_expectation& expected, duration wait)
{
    this->first_excess.note(static_cast<double>((wait - expected.reading).count()));
}

} // namespace sailtiller
