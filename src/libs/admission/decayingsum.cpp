// SPDX-License-Identifier: Apache-2.0
#include <admission/decayingsum.h>

#include <cmath>

namespace sailtiller {

void decaying_sum::add(double amount, time_point now)
{
    this->value = this->at(now) + amount;
    this->changed = now;
}

double decaying_sum::at(time_point now) const
{
    return this->value * std::exp(-std::chrono::duration<double>(now - this->changed) / decay_time);
}

} // namespace sailtiller
