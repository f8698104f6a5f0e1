// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <algorithm>
#include <vector>

namespace sailtiller::tests {

/// A refusal by which an upstream asked one host for a pause.
struct asked_pause
{
    time_point at{};
    duration length{};
};

/// After the answer, until a host must keep to the pause, by the users' sheets.
constexpr duration pause_margin = std::chrono::milliseconds(500);
/// Requests of one host that an upstream may get in the rest of a pause, by the same.
constexpr std::size_t most_in_pause = 2;

/// The most requests of one host that came in what counts of one pause.
inline std::size_t most_in_one_pause(
    const std::vector<time_point>& arrivals, const std::vector<asked_pause>& pauses)
{
    std::size_t most = 0;
    for (const asked_pause& pause : pauses) {
        const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&pause](time_point arrival) {
            return arrival > pause.at + pause_margin && arrival < pause.at + pause.length;
        });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

} // namespace sailtiller::tests
