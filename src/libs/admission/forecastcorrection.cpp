// SPDX-License-Identifier: Apache-2.0
#include <admission/forecastcorrection.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// Weight of one stream: a host of a large fleet has a few streams per second and sees a change within some
/// seconds.
constexpr double stream_weight = 0.1;
/// Bound of the factor and of its inverse; beyond it, the profile doesn't describe the engines.
constexpr double max_factor = 10;
/// Time in which an unconfirmed factor returns most of the way to 1: engines and their load change.
constexpr duration decay_time = std::chrono::seconds(30);

} // namespace

void correction_factor::note(duration observed, duration predicted, time_point now)
{
    if (observed <= duration::zero() || predicted <= duration::zero()) {
        return;
    }
    const double ratio = static_cast<double>(observed.count()) / static_cast<double>(predicted.count());
    const double present = std::log(this->at(now));
    const double seen = std::log(std::clamp(ratio, 1 / max_factor, max_factor));
    this->logarithm = present + stream_weight * (seen - present);
    this->noted = now;
}

double correction_factor::at(time_point now) const
{
    return std::exp(
        this->logarithm * std::exp(-std::chrono::duration<double>(now - this->noted) / decay_time));
}

void forecast_corrections::note_residence(duration observed)
{
    this->residence =
        this->residence ? *this->residence + scale(observed - *this->residence, stream_weight) : observed;
}

} // namespace sailtiller
