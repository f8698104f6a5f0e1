// SPDX-License-Identifier: Apache-2.0
#include <base/loadsummary.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Bounds the predicted delay of a service that starts nothing.
constexpr double least_first_events = 0.1;

duration make_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void load_summary::add(const load_summary& other, double factor)
{
    for (const auto& [kind, per_second] : other.arrivals) {
        this->arrivals[kind] += factor * per_second;
    }
    this->first_events += factor * other.first_events;
    this->first_event_delays += factor * other.first_event_delays;
    this->waiting += factor * other.waiting;
    this->waiting_ages += factor * other.waiting_ages;
}

bool load_summary::is_empty() const
{
    return this->arrivals.empty() && this->first_events <= 0 && this->waiting <= 0;
}

double load_summary::demand() const
{
    double sum = 0;
    for (const auto& [kind, per_second] : this->arrivals) {
        sum += per_second;
    }
    return sum;
}

duration load_summary::predicted_delay() const
{
    return make_duration(this->waiting / std::max(this->first_events, least_first_events));
}

duration load_summary::observed_delay() const
{
    const double count = this->first_events + this->waiting;
    return count <= 0 ? duration::zero()
                      : make_duration((this->first_event_delays + this->waiting_ages) / count);
}

} // namespace sailtiller
