// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/logservice.h>
#include <base/timerqueue.h>

#include <deque>

namespace sailtiller::tests {

/// The platform's log in memory, with the faults that a test switches on. Answers come through the timer
/// queue, so they arrive when the test's paused clock passes.
class fake_log
{
public:
    fake_log(timer_queue& timers, clock_function now);

    [[nodiscard]] log_hooks hooks();
    log_offset append(const std::string& data);
    /// Forgets the oldest records, so that `kept` stay.
    void expire(std::size_t kept);
    [[nodiscard]] std::size_t appends() const { return this->append_count; }
    [[nodiscard]] log_offset end() const { return log_offset(this->first + this->records.size()); }

    bool is_down = false;
    bool loses_append_answers = false;
    duration latency{};
    log_offset lowest_read{0}; ///< set by a test; lowered by reads before it

private:
    void answer(std::function<void()> action);

    timer_queue& timers;
    clock_function now;
    std::uint64_t first = 0;
    std::deque<std::string> records;
    std::size_t append_count = 0;
};

} // namespace sailtiller::tests
