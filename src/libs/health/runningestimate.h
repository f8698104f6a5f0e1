// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cmath>

namespace sailtiller {

/// Mean deviations above the mean after which an expected event counts as missing, as in the retransmission
/// timeout of RFC 6298.
constexpr double timeout_deviations = 4;

/// Running mean and mean deviation of a quantity, with the weights of RFC 6298 for round-trip times: 1/8 of a
/// new sample in the mean and 1/4 in the deviation.
class running_estimate
{
public:
    running_estimate() = default;
    running_estimate(double mean, double deviation)
        : middle(mean)
        , spread(deviation)
        , is_known(true)
    {
    }

    void note(double sample)
    {
        if (!this->is_known) {
            *this = {sample, sample / 2};
            return;
        }
        this->spread += (std::abs(sample - this->middle) - this->spread) / 4;
        this->middle += (sample - this->middle) / 8;
    }

    /// False until the first sample.
    [[nodiscard]] bool has_value() const { return this->is_known; }
    [[nodiscard]] double mean() const { return this->middle; }
    [[nodiscard]] double deviation() const { return this->spread; }
    /// The mean plus `deviations` mean deviations. For a normal distribution, one sample in ten is above 1.6
    /// of them, and one in 1,400 above 4.
    [[nodiscard]] double bound(double deviations) const { return this->middle + deviations * this->spread; }

private:
    double middle = 0;
    double spread = 0;
    bool is_known = false;
};

} // namespace sailtiller
