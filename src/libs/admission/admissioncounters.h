// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace sailtiller {

/// What became of a request at admission, and of its first event.
enum class admission_outcome {
    admitted,
    shed, ///< refused, as less than the demand is admitted to the overloaded service
    no_path_in_time, ///< refused, as its first event would be late on any path
    displaced, ///< refused, as the queue was full of requests that go before it
    first_event_in_time,
    first_event_late
};

/// Text used as a metric label.
std::string_view name_of(admission_outcome outcome);

/// Counts outcomes by the priority of the route, and sums up predicted and observed first events.
class admission_counters
{
public:
    /// Priorities beyond this are counted as this one, which bounds the number of metrics.
    static constexpr int max_counted_priority = 9;

    void count(int priority, admission_outcome outcome);
    /// Records the predicted and the observed time from the sending to the first event.
    void record_first_event(duration predicted, duration observed);
    [[nodiscard]] std::uint64_t value(int priority, admission_outcome outcome) const;
    [[nodiscard]] const std::map<std::pair<int, admission_outcome>, std::uint64_t>& all() const
    {
        return this->counts;
    }
    [[nodiscard]] duration predicted_sum() const { return this->predicted; }
    [[nodiscard]] duration observed_sum() const { return this->observed; }

private:
    std::map<std::pair<int, admission_outcome>, std::uint64_t> counts;
    duration predicted{};
    duration observed{};
};

} // namespace sailtiller
