// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <cstddef>

namespace sailtiller {

/// Bounds the bytes that a host gives to others in each interval; the first answer of one always fits.
class transfer_budget
{
public:
    transfer_budget(std::size_t most_bytes, duration interval)
        : most_bytes(most_bytes)
        , interval(interval)
    {
    }

    /// True if so many bytes may be given now.
    [[nodiscard]] bool has_budget_for(std::size_t bytes, time_point now);
    void record_sent_bytes(std::size_t bytes) { this->given += bytes; }

private:
    std::size_t most_bytes;
    duration interval;
    time_point interval_end{};
    std::size_t given = 0; ///< bytes in the present interval
};

} // namespace sailtiller
