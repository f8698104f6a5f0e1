// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

struct st_h2o_evloop_t;

namespace sailtiller {

/// Names work that an event loop cancels at its end.
using work_id = std::uint64_t;
/// Names an action at the end of each turn.
using turn_action_id = std::uint64_t;

/// The one loop on the one thread: h2o's sockets and our timers.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `stop` is called.
    void run();
    /// Runs one turn, waiting for at most `longest_wait`.
    void run_once(duration longest_wait);
    void stop() { this->is_stopping = true; }
    [[nodiscard]] bool is_stopped() const { return this->is_stopping; }

    /// The clock, read at each call: h2o runs callbacks within a turn, after a wait of any length.
    [[nodiscard]] time_point now() const;
    timer_id schedule_after(duration delay, std::function<void()> action);
    void cancel(timer_id timer) { this->timers.cancel(timer); }
    /// Runs `action` after the present turn, outside of any callback of h2o's.
    void post(std::function<void()> action);
    /// Runs `action` in each turn, after the connections were read.
    turn_action_id add_turn_action(std::function<void()> action);
    void remove_turn_action(turn_action_id id) { this->turn_actions.erase(id); }
    /// Adds work that lives by itself, such as a call over a connection of its own; `cancel` ends it without
    /// running its handlers.
    work_id add_work(std::function<void()> cancel);
    void remove_work(work_id id) { this->work.erase(id); }
    /// Cancels all work that is still there, as its handlers may refer to objects that go before the loop.
    void cancel_work();
    /// Told the name of a periodic task whose run has ended by an exception.
    void when_task_fails(std::function<void(const std::string& task)> action)
    {
        this->on_task_fault = std::move(action);
    }
    /// Logs and tells that a run of a periodic task has ended by an exception; for the task.
    void report_task_fault(const std::string& task, const std::string& reason) const;
    /// This loop as the hooks that the core takes.
    [[nodiscard]] timer_hooks hooks();

    [[nodiscard]] st_h2o_evloop_t* native() const { return this->loop; }

private:
    void run_posted();

    st_h2o_evloop_t* loop;
    timer_queue timers;
    std::deque<std::function<void()>> posted;
    std::map<turn_action_id, std::function<void()>> turn_actions;
    turn_action_id last_turn_action = 0;
    std::map<work_id, std::function<void()>> work; ///< how to cancel each
    work_id last_work = 0;
    std::function<void(const std::string&)> on_task_fault;
    bool is_stopping = false;
};

} // namespace sailtiller
