// SPDX-License-Identifier: Apache-2.0
#include <admission/admissioncounters.h>

#include <algorithm>

namespace sailtiller {

std::string_view name_of(admission_outcome outcome)
{
    switch (outcome) {
    case admission_outcome::admitted:
        return "admitted";
    case admission_outcome::shed:
        return "shed";
    case admission_outcome::no_path_in_time:
        return "no_path_in_time";
    case admission_outcome::displaced:
        return "displaced";
    case admission_outcome::first_event_in_time:
        return "first_event_in_time";
    case admission_outcome::first_event_late:
        return "first_event_late";
    }
    return "unknown";
}

void admission_counters::count(int priority, admission_outcome outcome)
{
    ++this->counts[{std::clamp(priority, 0, max_counted_priority), outcome}];
}

void admission_counters::record_first_event(duration predicted_delay, duration observed_delay)
{
    this->predicted += predicted_delay;
    this->observed += observed_delay;
}

std::uint64_t admission_counters::value(int priority, admission_outcome outcome) const
{
    const auto found = this->counts.find({priority, outcome});
    return found == this->counts.end() ? 0 : found->second;
}

} // namespace sailtiller
