// SPDX-License-Identifier: Apache-2.0
#include <runtime/eventlog.h>
#include <runtime/eventloop.h>
#include <runtime/h2oheaders.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <system_error>

namespace sailtiller {

namespace {

/// The longest time that the loop sleeps without looking at its stop flag.
constexpr duration longest_sleep = std::chrono::seconds(1);

/// Counts the time for which the machine was suspended, unlike the standard library's steady clock: what a
/// host believes grows old meanwhile, its duties pass to others, and callers' time limits run out.
time_point read_clock()
{
    timespec elapsed{};
    if (clock_gettime(CLOCK_BOOTTIME, &elapsed) != 0) {
        throw std::system_error(errno, std::generic_category(), "read clock");
    }
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(elapsed.tv_sec) + std::chrono::nanoseconds(elapsed.tv_nsec)));
}

/// Runs, at its end, the callbacks that our actions made pending, as h2o does after each of its own timers:
/// in its next turn h2o frees closed sockets first, also those that still wait for a callback.
class pending_callbacks
{
public:
    explicit pending_callbacks(h2o_evloop_t* loop)
        : loop(loop)
    {
    }
    ~pending_callbacks() { h2o_timeout__do_post_callback(this->loop); }
    pending_callbacks(const pending_callbacks&) = delete;
    pending_callbacks& operator=(const pending_callbacks&) = delete;

private:
    h2o_evloop_t* loop;
};

std::int32_t to_poll_milliseconds(duration wait)
{
    // Rounded up, so that a timer is due when the poll returns.
    return static_cast<std::int32_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

} // namespace

event_loop::event_loop()
    : loop(h2o_evloop_create())
{
    // A write to a connection that the peer has closed must fail as a write, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    this->cancel_work();
    if (h2o_linklist_is_empty(&this->loop->_timeouts) != 0) {
        // h2o frees a closed socket in the loop's next turn and fails if the loop goes before that.
        h2o_evloop_run(this->loop, 0);
        h2o_evloop_destroy(this->loop);
        return;
    }
    // A connection that could not be ended still refers to the loop, so the loop must outlive it.
    static auto* const abandoned = new std::vector<h2o_evloop_t*>;
    abandoned->push_back(this->loop);
}

time_point event_loop::now() const
{
    return read_clock();
}

void event_loop::run()
{
    while (!this->is_stopping) {
        this->run_once(longest_sleep);
    }
}

void event_loop::run_once(duration longest_wait)
{
    duration wait = longest_wait;
    if (!this->posted.empty()) {
        wait = duration::zero();
    } else if (const std::optional<time_point> due = this->timers.next_due()) {
        wait = std::clamp(*due - read_clock(), duration::zero(), longest_wait);
    }
    // A write that was begun outside a turn and is complete waits for its callback. h2o expects none before
    // it polls: it would poll for a write that has no callback any more.
    h2o_timeout__do_post_callback(this->loop);
    h2o_evloop_run(this->loop, to_poll_milliseconds(wait));
    const pending_callbacks pending(this->loop);
    for (const auto& [id, action] : this->turn_actions) {
        action();
    }
    this->run_posted();
    this->timers.run_due(read_clock());
}

void event_loop::run_posted()
{
    // Only those that are there now, so that an action that posts itself again doesn't keep the loop; and
    // each is taken out before it runs, so that one that throws takes no other with it.
    for (std::size_t left = this->posted.size(); left > 0; --left) {
        const std::function<void()> action = std::move(this->posted.front());
        this->posted.pop_front();
        action();
    }
}

timer_id event_loop::schedule_after(duration delay, std::function<void()> action)
{
    return this->timers.schedule(read_clock() + delay, std::move(action));
}

void event_loop::post(std::function<void()> action)
{
    this->posted.push_back(std::move(action));
}

turn_action_id event_loop::add_turn_action(std::function<void()> action)
{
    this->turn_actions.emplace(++this->last_turn_action, std::move(action));
    return this->last_turn_action;
}

work_id event_loop::add_work(std::function<void()> cancel)
{
    this->work.emplace(++this->last_work, std::move(cancel));
    return this->last_work;
}

void event_loop::cancel_work()
{
    while (!this->work.empty()) {
        const std::function<void()> cancel = std::move(this->work.begin()->second);
        this->work.erase(this->work.begin());
        cancel();
    }
}

void event_loop::report_task_fault(const std::string& task, const std::string& reason) const
{
    log_event(log_level::failure, event_type::internal_error, {{"step", task}, {"reason", reason}});
    if (this->on_task_fault) {
        this->on_task_fault(task);
    }
}

timer_hooks event_loop::hooks()
{
    timer_hooks hooks;
    hooks.schedule_after = [this](duration delay, std::function<void()> action) {
        return this->schedule_after(delay, std::move(action));
    };
    hooks.cancel = [this](timer_id timer) { this->cancel(timer); };
    hooks.now = [this] { return this->now(); };
    return hooks;
}

} // namespace sailtiller
