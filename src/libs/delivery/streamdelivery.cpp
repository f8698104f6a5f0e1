// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <delivery/streamdelivery.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Largest body of an answer that is no stream: an engine's refusal or failure, with some text.
constexpr std::size_t max_non_stream_bytes = std::size_t{1} << 20U;

} // namespace

stream_delivery::stream_delivery(
    delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done)
    : context(context)
    , order(std::move(order))
    , caller(std::move(caller))
    , on_done(std::move(on_done))
    , caller_monitor(context)
    , call(context, this->order)
    , chooser(context, this->order)
    , path(context, this->chooser)
    , events(context, this->order)
    , sends(context, this->order)
    , gate(context, this->order)
    , guard(context, this->order)
    , changes(context)
    , head_check(context.timers)
    , search_check(context.timers)
{
}

void stream_delivery::start()
{
    const auto self = this->shared_from_this();
    this->caller_monitor.start(
        this->order, this->caller.has_left, [self] { self->end_at_limit(); }, [self] { self->abandon(); });
    this->context.retries.note_request(this->order.service, this->context.timers.now());
    this->admission = this->chooser.start_admission();
    this->search();
}

void stream_delivery::search()
{
    this->state = phase::searching;
    if (!this->has_started && is_stop_too_near(this->context, this->order)) {
        this->refuse_with_retry_after(host_stopping_reason, retry_elsewhere_after);
        return;
    }
    if (!this->context.may_send()) {
        this->wait_for_configuration();
        return;
    }
    if (this->chooser.profile() == nullptr) {
        this->refuse(stream_end::no_engines, "no engines for this route");
        return;
    }
    if (const std::optional<duration> until_return = retry_after_if_unreachable(this->context, this->order)) {
        this->wait_for_connection(*until_return);
        return;
    }
    if (this->admission && !this->has_started && this->sends.runs() == 0) {
        this->search_admitted();
        return;
    }
    std::optional<layer_path> found = this->chooser.find_to_send(this->avoided, this->has_started);
    if (!found && !this->chooser.is_short_of_slots()) {
        this->wait_for_path();
        return;
    }
    if (found && (this->has_started || this->chooser.has_room(*found))) {
        this->send_over(std::move(*found));
        return;
    }
    if (this->context.timers.now() >= this->order.hold_end(this->context.settings)) {
        this->refuse_with_retry_after(
            "the engines that hold some layer, or the pipes between halls, are full",
            this->context.settings.retry_after);
        return;
    }
    this->schedule_search(search_obstacle::room, this->context.settings.search_pause);
}

void stream_delivery::wait_for_path()
{
    if (!this->has_started) {
        if (const std::optional<duration> until_return = this->chooser.retry_after_if_closed(this->avoided)) {
            this->refuse_with_retry_after(
                "the engines that could start the request accept no more requests now", *until_return);
            return;
        }
        if (this->context.timers.now() >= this->order.hold_end(this->context.settings)) {
            this->refuse_with_retry_after(
                "no engines hold every layer of the model", this->context.settings.retry_after);
            return;
        }
    }
    const duration without_path =
        this->obstacles.time_present(search_obstacle::path, this->context.timers.now());
    if (without_path >= this->context.settings.avoidance_limit) {
        this->avoided.clear();
    }
    this->schedule_search(search_obstacle::path, this->context.settings.search_pause);
}

void stream_delivery::search_admitted()
{
    admission_verdict verdict = this->admission->decide(this->avoided);
    switch (verdict.what) {
    case admission_verdict::action::send:
        this->send_over(std::move(verdict.path));
        return;
    case admission_verdict::action::hold:
        this->hold_for_admission(verdict.reason);
        return;
    case admission_verdict::action::refuse:
        this->refuse_for_admission(verdict);
        return;
    case admission_verdict::action::no_path:
        this->wait_for_path();
        return;
    }
}

void stream_delivery::hold_for_admission(const std::string& reason)
{
    const auto self = this->shared_from_this();
    const auto try_again = [self] {
        if (self->state == phase::searching) {
            self->search();
        }
    };
    const auto leave = [self] { self->refuse_for_admission(self->admission->displace()); };
    const time_point now = this->context.timers.now();
    if (!this->obstacles.is_present(search_obstacle::room)) {
        this->log(event_type::held_for_room, reason);
    }
    if (!this->admission->hold(try_again, leave)) {
        this->refuse_for_admission(this->admission->displace());
        return;
    }
    // The queue tries it in its turn; this try is the last one.
    this->schedule_search(search_obstacle::room, this->order.hold_end(this->context.settings) - now);
}

void stream_delivery::refuse_for_admission(const admission_verdict& verdict)
{
    this->refuse_with_retry_after(verdict.reason, verdict.retry_after);
}

bool stream_delivery::is_cleared_to_send()
{
    const auto retry_search = [self = this->shared_from_this()] {
        if (self->state == phase::searching) {
            self->search();
        }
    };
    return this->guard.is_cleared_to_send(
        retry_search, [this](const std::string& reason, duration retry_after) {
            this->refuse(stream_end::suspected_request, reason, retry_after);
        });
}

void stream_delivery::send_over(layer_path found)
{
    const time_point now = this->context.timers.now();
    if (!this->sends.has_allowance(this->has_started)) {
        this->wait_for_allowance();
        return;
    }
    // Checked last, since a granted trial that isn't used is lost to the fleet.
    if (!this->is_cleared_to_send()) {
        this->obstacles.note(search_obstacle::trial, now);
        return;
    }
    if (!this->gate.take(found.front().id)) {
        this->schedule_search(search_obstacle::upstream_limit, this->context.settings.search_pause);
        return;
    }
    if (this->sends.arrivals() > 0) {
        [[maybe_unused]] const bool is_taken = this->context.retries.take(this->order.service, now);
    }
    if (this->sends.count() == 0) {
        measure_since_arrival(this->context, this->order, request_moment::sent);
    }
    this->path.begin(std::move(found));
    if (this->context.heads != nullptr) {
        this->context.heads->note_sent();
    }
    this->sends.note_sent();
    if (this->admission) {
        this->admission->note_sent(this->path.parts());
    }
    this->guard.note_sent();
    this->search_check.cancel();
    this->obstacles.end(now);
    this->changes.end_pending_change();
    this->state = phase::waiting;
    this->answer = {};
    this->non_stream_body.clear();
    this->events.drop_partial_event();
    this->log(event_type::sent, describe_path(this->path.parts()));
    this->call.start(this->path.head().address, this->make_upstream_request(), this->make_answer_hooks());
}

void stream_delivery::wait_for_allowance()
{
    if (!this->has_started) {
        this->refuse_with_retry_after(
            "the fleet's retry allowance is used up", this->context.settings.retry_after);
        return;
    }
    // A caller with a started answer can't be asked to retry; the allowance grows with each request and over
    // time.
    this->schedule_search(search_obstacle::retry_allowance, this->context.settings.first_resend_pause);
}

void stream_delivery::wait_for_connection(duration retry_after)
{
    if (!this->has_started) {
        this->refuse_with_retry_after(unreachable_service_reason, retry_after);
        return;
    }
    this->schedule_search(search_obstacle::connection, this->context.settings.search_pause);
}

void stream_delivery::schedule_search(search_obstacle obstacle, duration pause)
{
    this->obstacles.note(obstacle, this->context.timers.now());
    this->search_check.schedule(pause, [self = this->shared_from_this()] { self->search(); });
}

upstream_request stream_delivery::make_upstream_request() const
{
    upstream_request upstream = this->order.make_request(this->path.head().id, this->context.timers.now());
    upstream.last_event = this->events.last();
    upstream.path = make_stage_endpoints(this->path.parts());
    return upstream;
}

bool stream_delivery::is_under_way() const
{
    return this->state == phase::waiting || this->state == phase::streaming;
}

void stream_delivery::leave_upstreams(const std::vector<upstream_id>& ids)
{
    if (!this->is_under_way()) {
        return;
    }
    bool is_on_path = false;
    for (const upstream_id& id : ids) {
        if (this->path.passes(id)) {
            this->guard.note_ended(id);
            this->avoided.insert(id);
            is_on_path = true;
        }
    }
    if (!is_on_path) {
        return;
    }
    const upstream_id& head = this->path.head().id;
    if (std::find(ids.begin(), ids.end(), head) != ids.end()) {
        this->fail_over_from_head();
    } else if (!this->changes.is_asking()) {
        this->change_path();
    }
}

void stream_delivery::leave_lost_connection(
    const std::function<std::optional<time_point>(const upstream_id&)>& unreachable_since)
{
    if (!this->is_under_way()) {
        return;
    }
    const std::optional<time_point> silent = this->path.silent_since();
    const std::optional<time_point> lost = unreachable_since(this->path.head().id);
    const std::optional<time_point> sent = this->call.first_byte_at();
    // An event after the loss shows that the connection lives on; a send after it went another way.
    const bool may_be_lost = silent && lost && sent && std::max(*silent, *sent) < *lost
        && this->context.timers.now() - *lost >= this->context.settings.lost_connection_time;
    if (!may_be_lost || !this->sends.may_send_now(this->has_started)) {
        return;
    }
    this->avoid_busy_head();
    this->retry_or_give_up("its connection is silent, and no new one can be made");
}

void stream_delivery::avoid_busy_head()
{
    std::set<upstream_id> others = this->avoided;
    others.insert(this->path.head().id);
    if (this->chooser.find(others)) {
        this->avoided = std::move(others);
    }
}

void stream_delivery::leave_given_up_layers()
{
    const bool may_change = this->state == phase::streaming && !this->changes.is_asking();
    if (!may_change || !this->path.uses_released_layers()) {
        return;
    }
    std::optional<layer_path> next = this->chooser.find(this->avoided, this->path.parts());
    if (next && !this->path.crosses_fewer_halls_than(*next)) {
        this->ask_for_path(*next);
    }
}

void stream_delivery::fail_over_from_head()
{
    // An engine that doesn't answer probes may be alive behind a congested link, with its answer in transit.
    // While no other upstream can run the request, abandoning the call would only lose that answer, so the
    // caller decides how long to wait. A caller that has no answer yet and may retry is refused at once.
    const bool refuse_early = !this->has_started && this->order.route->may_repeat();
    const bool has_alternative =
        this->sends.may_send_now(this->has_started) && this->chooser.find(this->avoided).has_value();
    if (refuse_early || has_alternative) {
        this->fail_over("the first engine of its path is dead");
        return;
    }
    this->head_check.schedule(this->context.settings.search_pause,
        [self = this->shared_from_this()] { self->fail_over_from_head(); });
}

void stream_delivery::keep_upstream(const upstream_id& id)
{
    if (this->is_under_way() && this->path.head().id == id) {
        this->head_check.cancel();
    }
}

/// Moves the running request to a path without the avoided upstreams.
void stream_delivery::change_path()
{
    const bool may_change = this->is_under_way() && !this->changes.is_asking();
    if (!may_change || !this->path.includes_behind_head(this->avoided)) {
        return;
    }
    std::optional<layer_path> next = this->chooser.find(this->avoided, this->path.parts());
    // All streams of a dead stage would use the pipe between the halls at once; recomputing the prompt in
    // another hall is faster.
    if (next && this->path.crosses_fewer_halls_than(*next) && this->sends.may_send_now(this->has_started)) {
        this->fail_over("a stage of its path is dead and has no other holder in its hall");
        return;
    }
    if (next && this->changes.may_start_change()) {
        this->changes.count_change();
        this->ask_for_path(*next);
        return;
    }
    this->schedule_change(this->context.settings.change_pause);
}

void stream_delivery::schedule_change(duration pause)
{
    this->changes.schedule(pause, [self = this->shared_from_this()] { self->change_path(); });
}

void stream_delivery::ask_for_path(const layer_path& next)
{
    this->changes.ask(this->order, next,
        [self = this->shared_from_this(), number = this->call.number(), next](
            const path_change_answer& result) {
            if (self->call.number() == number && self->state != phase::done) {
                self->changes.end_pending_change();
                self->handle_path_change_answer(next, result);
            }
        });
}

void stream_delivery::handle_path_change_answer(layer_path next, const path_change_answer& result)
{
    if (result.result == path_change_result::changed) {
        this->path.change(std::move(next));
        this->log(event_type::path_changed, describe_path(this->path.parts()));
        this->change_path(); // another upstream may have died meanwhile
        return;
    }
    this->log(event_type::path_change_refused,
        std::string(name_of(result.result)) + (result.failure.empty() ? "" : ": " + result.failure));
    if (result.result == path_change_result::unknown_request) {
        this->handle_unknown_request();
        return;
    }
    if (result.at_fault) {
        this->avoid_refusing_stage(next, *result.at_fault);
    }
    this->schedule_change(result.at_fault ? duration::zero() : this->context.settings.change_pause);
}

/// Handles a head that has not started the request, or has finished it with its answer in transit.
void stream_delivery::handle_unknown_request()
{
    if (this->state != phase::waiting) {
        return;
    }
    if (this->sends.may_send_now(this->has_started)) {
        // The head answers, so it may get the request again.
        this->retry_or_give_up("a stage of its path is dead, and its first engine doesn't know the request");
        return;
    }
    // No other upstream may run the request, so the stream waits for the answer; a head that has yet to start
    // it needs the other path.
    this->schedule_change(this->changes.uncount_change());
}

/// Avoids the stage that refused a path, for this stream and temporarily for new requests.
void stream_delivery::avoid_refusing_stage(const layer_path& refused, const endpoint& at_fault)
{
    for (const path_stage& part : refused) {
        if (part.address == at_fault) {
            this->avoided.insert(part.id);
            avoid_after_refusal(this->context, part.id);
        }
    }
}

answer_hooks stream_delivery::make_answer_hooks()
{
    const auto self = this->shared_from_this();
    answer_hooks hooks;
    hooks.on_head = [self](int status, const http_headers& headers) { self->handle_head(status, headers); };
    hooks.on_body = [self](std::string_view bytes) { self->take_body(bytes); };
    hooks.on_end = [self](call_ending ending, const std::string& reason) {
        self->handle_call_end(ending, reason);
    };
    return hooks;
}

void stream_delivery::handle_head(int status, const http_headers& headers)
{
    this->answer = this->context.codec.decode_answer(status, headers);
    if (this->answer.id != this->order.request.id) {
        this->fail_over("the answer belongs to another request");
        return;
    }
    note_answer(this->context, this->path.head().id, this->answer, this->call.sent_at());
    this->head_check.cancel(); // it lives
    if (status != http_status::ok || !this->answer.is_signed) {
        return; // handled at the end of the answer
    }
    this->state = phase::streaming;
    this->context.loads.note_served(this->path.head().id);
    this->path.note_begun();
    if (!this->has_started) {
        this->has_started = true;
        this->caller.start(status, this->answer.passed_on);
    }
}

void stream_delivery::take_body(std::string_view bytes)
{
    this->head_check.cancel(); // it lives
    if (this->state != phase::streaming) {
        this->non_stream_body += bytes;
        if (this->non_stream_body.size() > max_non_stream_bytes) {
            this->handle_answer_fault(answer_fault::body_bytes);
        }
        return;
    }
    const std::string text = this->events.take(bytes, this->path.parts());
    this->sends.set_resumable(this->events.is_resumable());
    if (!text.empty()) {
        this->changes.note_progress();
        this->path.note_progress();
        this->guard.note_progress();
        if (this->admission) {
            this->admission->note_event();
        }
        this->caller.send(text);
    }
    if (const std::optional<answer_fault> fault = this->events.fault()) {
        this->handle_answer_fault(*fault);
    }
}

/// Ends an answer that has gone on for too long, or isn't one, as if its upstream had broken it off.
void stream_delivery::handle_answer_fault(answer_fault fault)
{
    if (this->is_under_way()) {
        this->handle_call_end(call_ending::broken, note_answer_fault(this->context, fault));
    }
}

void stream_delivery::handle_call_end(call_ending ending, const std::string& reason)
{
    if (ending == call_ending::not_connected) {
        this->handle_connect_failure("no connection: " + reason);
        return;
    }
    if (ending == call_ending::broken) {
        this->guard.note_ended(this->path.head().id);
        this->fail_over("broken off: " + reason);
        return;
    }
    if (ending == call_ending::relay_lost) {
        this->avoid_busy_head();
        this->retry_or_give_up("relaying host lost: " + reason);
        return;
    }
    if (this->state == phase::streaming) {
        if (this->events.has_partial_event()) {
            this->guard.note_ended(this->path.head().id);
            this->fail_over("the answer ended within an event");
            return;
        }
        if (this->events.pace().event_count() == 0) {
            // An answer without length and chunks ends with its connection, whatever ended that.
            this->guard.note_ended(this->path.head().id);
            this->fail_over("the answer ended before its first event");
            return;
        }
        this->finish();
        return;
    }
    if (this->answer.is_not_run) {
        this->handle_refusal();
        return;
    }
    this->finish_other_answer();
}

void stream_delivery::handle_connect_failure(const std::string& reason)
{
    this->sends.note_not_arrived();
    this->guard.note_not_reached();
    if (this->call.was_held_back()) {
        this->retry_or_give_up(reason); // withheld by this host; not the engine's fault
        return;
    }
    note_unreachable(this->context, this->path.head().id);
    if (this->sends.runs() > 0) {
        this->avoided.insert(this->path.head().id);
    }
    if (this->leave_failed_path(reason)) {
        this->search_after_pause(search_obstacle::connection);
    }
}

void stream_delivery::handle_refusal()
{
    // The refusal of a second copy doesn't show whether the first one was started.
    if (!this->call.was_sent_again()) {
        this->sends.note_not_run();
    }
    const path_stage refusing_stage = this->path.find_refusing_stage(this->answer.at_fault);
    // A stage that doesn't hold its layers soon shows that in its entry; others are only briefly full.
    avoid_after_refusal(this->context, refusing_stage.id);
    const bool is_unwilling =
        this->answer.status == http_status::unavailable && this->chooser.is_idle(refusing_stage);
    if (is_unwilling) {
        avoid_unwilling(this->context, refusing_stage.id);
    }
    this->log(event_type::refused_by_upstream,
        refusing_stage.id.value() + " status " + std::to_string(this->answer.status)
            + (is_unwilling ? ", despite free capacity" : ""));
    this->release_call();
    if (!this->sends.may_send_again(this->has_started)) {
        this->refuse(this->sends.end_cause(), "the engines refuse new work");
        return;
    }
    this->search_after_pause(search_obstacle::refusal);
}

void stream_delivery::search_after_pause(search_obstacle obstacle)
{
    const duration pause = this->sends.pause_before_next();
    if (pause == duration::zero()) {
        this->search();
        return;
    }
    this->state = phase::searching;
    this->schedule_search(obstacle, pause);
}

/// Handles a status other than 200 of an upstream that has started the request.
void stream_delivery::finish_other_answer()
{
    const bool has_failed = this->answer.status >= http_status::first_server_error
        && this->answer.status != http_status::gateway_timeout;
    if (this->answer.is_signed && has_failed) {
        note_failure(this->context, this->path.head().id);
    }
    if (this->sends.may_send_now(this->has_started) || this->has_started || !this->answer.is_signed) {
        this->fail_over("status " + std::to_string(this->answer.status));
        return;
    }
    this->log(event_type::answered, "status " + std::to_string(this->answer.status));
    this->caller.respond({this->answer.status, this->answer.passed_on, this->non_stream_body});
    this->end();
}

void stream_delivery::fail_over(const std::string& reason)
{
    if (this->sends.runs() > 0) {
        this->avoided.insert(this->path.head().id);
    }
    this->retry_or_give_up(reason);
}

/// Continues on another path, or gives up if no run is left.
void stream_delivery::retry_or_give_up(const std::string& reason)
{
    if (this->leave_failed_path(reason)) {
        this->search();
    }
}

bool stream_delivery::leave_failed_path(const std::string& reason)
{
    this->log(event_type::path_failed,
        reason + " after " + std::to_string(this->events.pace().event_count()) + " events, "
            + this->sends.describe_runs() + ", " + this->order.describe_content());
    this->release_call();
    if (this->sends.may_send_again(this->has_started)) {
        return true;
    }
    this->give_up(this->sends.end_cause(), reason);
    return false;
}

void stream_delivery::give_up(stream_end cause, const std::string& reason)
{
    if (this->has_started) {
        this->note_cut(event_type::broken_off, cause, reason);
    }
    this->end_with_error(make_failure(http_status::bad_gateway, "the engines failed: " + reason));
}

/// Keeps a started stream waiting, since its caller can't be asked to retry and the configuration may be
/// confirmed soon.
void stream_delivery::wait_for_configuration()
{
    if (!this->has_started) {
        this->refuse_with_retry_after("this host can't confirm that its configuration is the newest",
            this->context.settings.retry_after);
        return;
    }
    this->schedule_search(search_obstacle::configuration, this->context.settings.search_pause);
}

void stream_delivery::refuse(stream_end cause, const std::string& reason)
{
    this->refuse(cause, reason, this->context.settings.retry_after);
}

void stream_delivery::refuse(stream_end cause, const std::string& reason, duration retry_after)
{
    if (this->has_started) {
        this->give_up(cause, reason);
        return;
    }
    this->refuse_with_retry_after(reason, retry_after);
}

/// Sends a final refusal to a caller without an answer.
void stream_delivery::refuse_with_retry_after(const std::string& reason, duration retry_after)
{
    this->log(event_type::refused, reason + ", " + this->sends.describe_arrivals());
    this->end_with_error(make_last_answer(this->order, this->sends.runs(), retry_after, reason));
}

bool stream_delivery::end_for_stop(const std::string& cut)
{
    if (this->state == phase::done) {
        return false;
    }
    if (!this->has_started) {
        this->refuse_with_retry_after(host_stopping_reason, retry_elsewhere_after);
        return false;
    }
    this->note_cut(event_type::broken_off, stream_end::host_stop, cut);
    this->caller.abort();
    this->end();
    return true;
}

/// Ends with this answer, or aborts the one that has started.
void stream_delivery::end_with_error(const http_response& answer)
{
    if (this->has_started) {
        this->caller.abort();
    } else {
        this->caller.respond(answer);
    }
    this->end();
}

void stream_delivery::finish()
{
    const bool is_late = this->events.pace().is_late(*this->order.route);
    this->log(is_late ? event_type::finished_late : event_type::finished,
        this->events.pace().describe() + ", sends " + std::to_string(this->sends.count())
            + (is_late ? " on " + this->events.pace().slowest_path() : ""));
    this->guard.note_completed();
    if (this->admission) {
        this->admission->note_complete(this->events.pace().event_count());
    }
    this->caller.finish();
    this->end();
}

void stream_delivery::note_cut(event_type what, stream_end cause, const std::string& reason) const
{
    const time_point now = this->context.timers.now();
    std::string detail = reason + (reason.empty() ? "" : ", ") + this->events.pace().describe_progress(now);
    detail += ", " + this->sends.describe_runs() + ", ended by ";
    detail += name_of(cause);
    detail += " while ";
    detail += this->describe_state();
    detail += ", held up by " + this->obstacles.describe(now);
    this->log(what, detail);
    if (this->has_started && this->context.count_end) {
        this->context.count_end(cause);
    }
}

std::string_view stream_delivery::describe_state() const
{
    switch (this->state) {
    case phase::searching:
        return "searching";
    case phase::waiting:
        return "waiting for the answer to begin";
    case phase::streaming:
        return "streaming";
    case phase::done:
        break;
    }
    return "done";
}

void stream_delivery::end_at_limit()
{
    this->note_cut(event_type::time_limit, stream_end::time_limit, this->order.describe_time_limit());
    this->end_with_error(make_failure(http_status::gateway_timeout, "the time limit was exceeded"));
}

void stream_delivery::abandon()
{
    if (this->state == phase::done) {
        return;
    }
    this->note_cut(event_type::caller_left, stream_end::caller_left, {});
    if (this->has_started) {
        this->caller.abort();
    }
    this->end();
}

/// Ends the current call and clears the path.
void stream_delivery::release_call()
{
    this->call.end();
    this->path.release();
    this->changes.cancel();
    this->head_check.cancel();
}

void stream_delivery::end()
{
    if (this->state == phase::done) {
        return;
    }
    this->state = phase::done;
    measure_since_arrival(this->context, this->order, request_moment::ended);
    if (this->admission) {
        this->admission->end();
    }
    this->release_call();
    this->caller_monitor.stop();
    this->search_check.cancel();
    if (this->on_done) {
        const std::function<void()> action = std::move(this->on_done);
        action();
    }
}

void stream_delivery::log(event_type what, const std::string& detail) const
{
    this->context.log({what, this->order.request.id.value(),
        this->path.is_empty() ? std::string() : this->path.head().id.value(), detail});
}

} // namespace sailtiller
