// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <optional>

namespace sailtiller {

/// Factor between observed and predicted times: a bounded moving average that returns to 1 while nothing is
/// observed.
class correction_factor
{
public:
    void note(duration observed, duration predicted, time_point now);
    [[nodiscard]] double at(time_point now) const;

private:
    double logarithm = 0;
    time_point noted{};
};

/// What this host's streams show about the predictions of their times.
struct forecast_corrections
{
    correction_factor first_event; ///< of the first event without the wait for a slot
    /// Of the time between two events, predicted as one decode step; an event may hold several tokens.
    correction_factor pause;
    /// Moving average of the time for which a stream runs; empty before the first.
    std::optional<duration> residence;

    void note_residence(duration observed);
};

} // namespace sailtiller
