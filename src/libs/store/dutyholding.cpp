// SPDX-License-Identifier: Apache-2.0
#include <store/dutyholding.h>

#include <algorithm>

namespace sailtiller {

void duty_holding::take(const group_membership& next, time_point asked)
{
    this->membership = next;
    this->confirmed = std::max(asked, this->confirmed.value_or(asked));
}

void duty_holding::release()
{
    this->membership.duties.clear();
    this->confirmed.reset();
}

std::optional<group_generation> duty_holding::find(unsigned duty, time_point now) const
{
    const std::vector<unsigned>& duties = this->membership.duties;
    const bool is_lapsed = !this->confirmed || now - *this->confirmed >= this->silence_limit;
    if (is_lapsed || std::find(duties.begin(), duties.end(), duty) == duties.end()) {
        return std::nullopt;
    }
    return this->membership.generation;
}

} // namespace sailtiller
