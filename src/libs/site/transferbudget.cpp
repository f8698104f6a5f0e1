// SPDX-License-Identifier: Apache-2.0
#include <site/transferbudget.h>

namespace sailtiller {

bool transfer_budget::has_budget_for(std::size_t bytes, time_point now)
{
    if (now >= this->interval_end) {
        this->interval_end = now + this->interval;
        this->given = 0;
    }
    return this->given == 0 || this->given + bytes <= this->most_bytes;
}

} // namespace sailtiller
