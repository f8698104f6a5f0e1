// SPDX-License-Identifier: Apache-2.0
#include <base/plannedstop.h>
#include <base/timetext.h>

namespace sailtiller {

void planned_stop::begin(time_point now, duration grace, duration answering)
{
    this->begun = now;
    this->grace_end = now + grace;
    this->answers_end = now + answering;
}

bool planned_stop::has_time_for(duration needed, time_point now) const
{
    return !this->begun || now + needed <= this->answers_end;
}

bool planned_stop::is_grace_over(time_point now) const
{
    return this->begun && now >= this->grace_end;
}

std::string planned_stop::describe_cut(time_point arrived, time_point now) const
{
    const std::string run = "this host stops; it ran for " + write_milliseconds(now - arrived) + " ms";
    if (!this->begun || arrived < *this->begun) {
        return run + " and was taken before the signal";
    }
    return run + " and was taken " + write_milliseconds(arrived - *this->begun) + " ms after the signal";
}

} // namespace sailtiller
