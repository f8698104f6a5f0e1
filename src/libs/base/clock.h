// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>
#include <functional>

namespace sailtiller {

/// The loop's clock: monotonic. The core never reads a clock itself;
/// it is given a time or a `clock_function`, which tests pause and advance.
struct loop_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<loop_clock>;
    static constexpr bool is_steady = true;
};

using duration = loop_clock::duration;
using time_point = loop_clock::time_point;
using clock_function = std::function<time_point()>;

/// A part or a multiple of a time, in whole ticks.
inline duration scale(duration time, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace sailtiller
