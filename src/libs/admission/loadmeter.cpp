// SPDX-License-Identifier: Apache-2.0
#include <admission/loadmeter.h>

namespace sailtiller {

void load_meter::note_arrival(const request_class& kind, time_point now)
{
    this->arrivals[kind].add(1, now);
}

void load_meter::begin_wait(time_point now)
{
    this->waiting.insert(now);
}

void load_meter::end_wait(time_point sent, bool has_event, time_point now)
{
    const auto found = this->waiting.find(sent);
    if (found != this->waiting.end()) {
        this->waiting.erase(found);
    }
    if (has_event) {
        this->first_events.add(1, now);
        this->slow_first_events.add(now - sent > this->slow_delay ? 1 : 0, now);
    }
}

load_summary load_meter::summary(time_point now) const
{
    load_summary result;
    for (const auto& [kind, count] : this->arrivals) {
        result.arrivals[kind] = count.at(now);
    }
    result.first_events = this->first_events.at(now);
    result.slow_first_events = this->slow_first_events.at(now);
    result.waiting = static_cast<double>(this->waiting.size());
    for (const time_point& sent : this->waiting) {
        if (now - sent <= this->slow_delay) {
            break;
        }
        ++result.slow_waiting;
    }
    return result;
}

} // namespace sailtiller
