// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/eventloop.h>

#include <string>

namespace sailtiller {

/// Work that is done again and again for as long as the object lives. A run that ends by an exception is
/// logged and counted by the task's name, and the next one comes in its time.
class periodic_task
{
public:
    /// `interval` passes between the end of a run and the next one.
    periodic_task(event_loop& loop, std::string name, duration interval, std::function<void()> run);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

    /// Does the first run at once.
    void start();
    /// Does the first run after `delay`.
    void start_after(duration delay);
    /// No run follows, unless the task is started again; may be called within a run.
    void stop();
    /// Counts from the next end of a run; may be called within a run.
    void set_interval(duration next) { this->interval = next; }
    [[nodiscard]] bool is_started() const { return this->is_active; }
    [[nodiscard]] unsigned failures_in_a_row() const { return this->failures; }

private:
    void run_once();

    event_loop& loop;
    std::string name;
    duration interval;
    std::function<void()> run;
    timer_id timer = 0;
    unsigned failures = 0;
    bool is_active = false;
};

} // namespace sailtiller
