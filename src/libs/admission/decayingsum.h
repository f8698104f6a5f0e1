// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

namespace sailtiller {

/// Sum of recent amounts that decays exponentially with a time constant of one second, so that a steady rate
/// per second is its value.
class decaying_sum
{
public:
    static constexpr duration decay_time = std::chrono::seconds(1);

    void add(double amount, time_point now);
    [[nodiscard]] double at(time_point now) const;

private:
    double value = 0;
    time_point changed{};
};

} // namespace sailtiller
