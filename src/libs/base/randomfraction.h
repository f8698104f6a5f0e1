// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>

namespace sailtiller {

/// Draws a number from [0, 1) with uniform distribution.
inline double draw_fraction(const random_function& random)
{
    constexpr unsigned fraction_bits = 53; // of a double
    return static_cast<double>(random() >> (64U - fraction_bits))
        / static_cast<double>(std::uint64_t{1} << fraction_bits);
}

} // namespace sailtiller
