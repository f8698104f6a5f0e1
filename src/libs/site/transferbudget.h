// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <cstddef>

namespace sailtiller {

/// Limits the bytes that a host sends to others in each interval; the first answer of an interval always
/// fits.
class transfer_budget
{
public:
    transfer_budget(std::size_t most_bytes, duration interval)
        : most_bytes(most_bytes)
        , interval(interval)
    {
    }

    /// Returns true if `bytes` more may be sent now.
    [[nodiscard]] bool has_budget_for(std::size_t bytes, time_point now);
    void record_sent_bytes(std::size_t bytes) { this->given += bytes; }

private:
    std::size_t most_bytes;
    duration interval;
    time_point interval_end{};
    std::size_t given = 0; ///< bytes sent in the current interval
};

} // namespace sailtiller
