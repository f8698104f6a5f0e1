// SPDX-License-Identifier: Apache-2.0
#include <base/loadsummary.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Bounds the predicted delay of a service that starts nothing.
constexpr double least_first_events = 0.1;

} // namespace

void load_summary::add(const load_summary& other, double factor)
{
    for (const auto& [kind, per_second] : other.arrivals) {
        this->arrivals[kind] += factor * per_second;
    }
    this->first_events += factor * other.first_events;
    this->slow_first_events += factor * other.slow_first_events;
    this->waiting += factor * other.waiting;
    this->slow_waiting += factor * other.slow_waiting;
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
    const std::chrono::duration<double> time(
        this->waiting / std::max(this->first_events, least_first_events));
    return std::chrono::duration_cast<duration>(time);
}

double load_summary::slow_share() const
{
    const double count = this->first_events + this->waiting;
    return count <= 0 ? 0 : (this->slow_first_events + this->slow_waiting) / count;
}

} // namespace sailtiller
