// SPDX-License-Identifier: Apache-2.0
#include <base/timetext.h>
#include <delivery/pathuse.h>
#include <delivery/streamtiming.h>

namespace sailtiller {

void stream_timing::record_forwarded(std::size_t count, time_point now, const layer_path& path)
{
    this->events += count;
    if (this->last_forwarded == time_point()) {
        this->first_event_delay = now - this->arrived;
    } else if (now - this->last_forwarded > this->longest_pause) {
        this->longest_pause = now - this->last_forwarded;
        this->longest_pause_path = describe_path(path);
    }
    this->last_forwarded = now;
}

bool stream_timing::is_late(const service_route& route) const
{
    return this->first_event_delay > route.latency_objective || this->longest_pause > route.longest_pause;
}

std::string stream_timing::describe_progress(time_point now) const
{
    const std::string count = std::to_string(this->events) + " events";
    return this->events == 0
        ? count
        : count + ", the last " + write_milliseconds(now - this->last_forwarded) + " ms ago";
}

std::string stream_timing::describe() const
{
    return std::to_string(this->events) + " events, first after "
        + write_milliseconds(this->first_event_delay) + " ms, longest pause "
        + write_milliseconds(this->longest_pause) + " ms";
}

} // namespace sailtiller
