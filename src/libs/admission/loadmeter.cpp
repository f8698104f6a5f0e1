// SPDX-License-Identifier: Apache-2.0
#include <admission/loadmeter.h>

namespace sailtiller {

namespace {

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void load_meter::note_arrival(const request_class& kind, time_point now)
{
    this->arrivals[kind].add(1, now);
}

void load_meter::begin_wait(time_point now)
{
    ++this->waiting;
    this->waiting_since += now.time_since_epoch();
}

void load_meter::end_wait(time_point sent, bool has_event, time_point now)
{
    --this->waiting;
    this->waiting_since -= sent.time_since_epoch();
    if (has_event) {
        this->first_events.add(1, now);
        this->first_event_delays.add(to_seconds(now - sent), now);
    }
}

load_summary load_meter::summary(time_point now) const
{
    load_summary result;
    for (const auto& [kind, count] : this->arrivals) {
        result.arrivals[kind] = count.at(now);
    }
    result.first_events = this->first_events.at(now);
    result.first_event_delays = this->first_event_delays.at(now);
    result.waiting = static_cast<double>(this->waiting);
    const auto waiting_count = static_cast<duration::rep>(this->waiting);
    result.waiting_ages = to_seconds(now.time_since_epoch() * waiting_count - this->waiting_since);
    return result;
}

} // namespace sailtiller
