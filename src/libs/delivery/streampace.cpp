// SPDX-License-Identifier: Apache-2.0
#include <base/timetext.h>
#include <delivery/pathuse.h>
#include <delivery/streampace.h>

namespace sailtiller {

void stream_pace::note_passed(std::size_t count, time_point now, const layer_path& path)
{
    this->events += count;
    if (this->last_passed == time_point()) {
        this->first_wait = now - this->arrived;
    } else if (now - this->last_passed > this->longest_pause) {
        this->longest_pause = now - this->last_passed;
        this->longest_pause_path = describe_path(path);
    }
    this->last_passed = now;
}

bool stream_pace::is_late(const service_route& route) const
{
    return this->first_wait > route.latency_objective || this->longest_pause > route.longest_pause;
}

std::string stream_pace::describe_progress(time_point now) const
{
    const std::string count = std::to_string(this->events) + " events";
    return this->events == 0
        ? count
        : count + ", the last " + write_milliseconds(now - this->last_passed) + " ms ago";
}

std::string stream_pace::describe() const
{
    return std::to_string(this->events) + " events, first after " + write_milliseconds(this->first_wait)
        + " ms, longest pause " + write_milliseconds(this->longest_pause) + " ms";
}

} // namespace sailtiller
