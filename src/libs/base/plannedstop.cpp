// SPDX-License-Identifier: Apache-2.0
#include <base/plannedstop.h>

namespace sailtiller {

namespace {

std::string write_milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void planned_stop::begin(time_point now, duration grace)
{
    this->begun = now;
    this->grace_end = now + grace;
}

bool planned_stop::is_grace_over(time_point now) const
{
    return this->begun && now >= this->grace_end;
}

std::string planned_stop::describe_cut(time_point arrived, time_point now) const
{
    const std::string run = "this host stops; it ran for " + write_milliseconds(now - arrived);
    if (!this->begun || arrived < *this->begun) {
        return run + " and was taken before the signal";
    }
    return run + " and was taken " + write_milliseconds(arrived - *this->begun) + " after the signal";
}

} // namespace sailtiller
