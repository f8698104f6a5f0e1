// SPDX-License-Identifier: Apache-2.0
#include <base/timetext.h>
#include <delivery/searchobstacles.h>

#include <string_view>

namespace sailtiller {

namespace {

std::string_view name_of(search_obstacle obstacle)
{
    switch (obstacle) {
    case search_obstacle::configuration:
        return "configuration";
    case search_obstacle::path:
        return "path";
    case search_obstacle::room:
        return "room";
    case search_obstacle::upstream_limit:
        return "upstream limit";
    case search_obstacle::retry_allowance:
        return "retry allowance";
    case search_obstacle::refusal:
        return "refusal";
    case search_obstacle::connection:
        return "connection";
    case search_obstacle::trial:
        return "trial";
    }
    return "unknown";
}

} // namespace

void search_obstacles::note(search_obstacle obstacle, time_point now)
{
    if (this->present && this->present->what == obstacle) {
        return;
    }
    this->end(now);
    this->present = {obstacle, now};
}

void search_obstacles::end(time_point now)
{
    if (this->present) {
        this->past[this->present->what] += now - this->present->since;
        this->present.reset();
    }
}

std::string search_obstacles::describe(time_point now) const
{
    std::map<search_obstacle, duration> times = this->past;
    if (this->present) {
        times[this->present->what] += now - this->present->since;
    }
    std::string text;
    for (const auto& [obstacle, time] : times) {
        text += (text.empty() ? "" : ", ") + std::string(name_of(obstacle)) + " " + write_milliseconds(time)
            + " ms";
    }
    return text.empty() ? "nothing" : text;
}

} // namespace sailtiller
