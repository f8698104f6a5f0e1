// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <algorithm>
#include <vector>

namespace sailtiller::tests {

/// The users' bound on what an upstream gets that names a limit: from this time after it first named it, ...
constexpr duration limit_contact_time = std::chrono::seconds(3);
/// ... in any span of this length ...
constexpr duration limit_window = std::chrono::seconds(4);

/// ... at most so many requests.
inline std::size_t most_allowed(double requests_per_second)
{
    constexpr double share = 1.5;
    constexpr double slack = 5;
    const double seconds = std::chrono::duration<double>(limit_window).count();
    return static_cast<std::size_t>(share * seconds * requests_per_second + slack);
}

/// The most of these arrivals, which are in order, in one such span.
inline std::size_t most_in_window(const std::vector<time_point>& arrivals)
{
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + limit_window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace sailtiller::tests
