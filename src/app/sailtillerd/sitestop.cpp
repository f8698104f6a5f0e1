// SPDX-License-Identifier: Apache-2.0
#include "sitestop.h"

#include <runtime/eventlog.h>
#include <runtime/programsettings.h>

#include <algorithm>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// Between two looks whether every answer is out.
constexpr duration idle_look_interval = milliseconds(50);
/// The platform kills the process at the limit; the last answers need a little time on the way.
constexpr duration stop_margin = milliseconds(400);
/// So much of the margin at most goes to the answers of those that are told to go elsewhere: a few round
/// trips between data halls.
constexpr duration last_answer_time = milliseconds(100);
static_assert(last_answer_time < stop_margin);
/// Between two looks, in that time, whether they are out.
constexpr duration last_answer_look = milliseconds(10);

} // namespace

site_stop::site_stop(event_loop& loop, http_server& callers, gateway_service& gateway, site_relay& relay,
    std::function<void()> announce)
    : loop(loop)
    , callers(callers)
    , gateway(gateway)
    , relay(relay)
    , announce(std::move(announce))
    , idle_looks(loop, "end stop", idle_look_interval, [this] { this->finish_when_idle(); })
    , last_looks(loop, "end stop", last_answer_look, [this] { this->end_when_answers_are_out(); })
{
}

void site_stop::begin(duration grace, duration longest)
{
    if (this->has_begun) {
        return;
    }
    this->has_begun = true;
    this->callers.close_after_answers();
    const duration answering = std::max(longest - stop_margin, duration::zero());
    this->limit = this->loop.now() + answering;
    grace = std::min(grace, answering);
    this->gateway.begin_stop(grace, answering);
    this->relay.begin_stop();
    log_event(log_level::info, event_type::stopping,
        {{"requests_in_flight", std::to_string(this->gateway.requests_in_flight())}});
    this->announce();
    this->loop.schedule_after(grace, [this] {
        this->idle_looks.start_after(duration::zero());
        this->callers.close_listeners();
    });
}

void site_stop::finish_when_idle()
{
    // Again and again: a connection whose answer began before the stop is still promised to be kept.
    this->callers.close_idle_connections();
    const bool is_idle = this->gateway.requests_in_flight() == 0 && this->callers.connection_count() == 0
        && this->relay.calls_in_progress() == 0;
    if (!is_idle && this->loop.now() < this->limit) {
        return;
    }
    this->idle_looks.stop();
    this->last_looks.start_after(duration::zero());
    this->last_answers_end = this->loop.now() + last_answer_time;
    this->code = is_idle ? exit_ok : exit_failed;
    // What was read is owed an answer: a connection that ends without one doesn't tell its caller whether the
    // request has run, so that one which may run only once is lost.
    this->cut_off = this->gateway.end_for_stop() + this->relay.calls_in_progress();
    this->relay.end_for_stop();
}

void site_stop::end_when_answers_are_out()
{
    this->callers.close_idle_connections();
    if (this->callers.connection_count() > 0 && this->loop.now() < this->last_answers_end) {
        return;
    }
    this->last_looks.stop();
    log_event(log_level::info, event_type::stopped, {{"cut_off", std::to_string(this->cut_off)}});
    this->loop.stop();
}

} // namespace sailtiller
