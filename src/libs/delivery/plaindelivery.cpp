// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <delivery/plaindelivery.h>

#include <limits>

namespace sailtiller {

namespace {

/// Load penalty in requests for an upstream in another hall; keeps calls in their hall while loads are
/// similar.
constexpr double other_hall_requests = 0.5;
/// Share of the latency objective after which a repeatable request is sent to another upstream; the second
/// answer must still arrive within the objective.
constexpr double slow_share = 0.6;
/// Largest body of an answer, which is held whole until its end: far above the largest request that a host
/// takes.
constexpr std::size_t max_answer_bytes = std::size_t{64} << 20U;
static_assert(max_answer_bytes <= max_held_answer_bytes);

} // namespace

plain_delivery::plain_delivery(
    delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done)
    : context(context)
    , order(std::move(order))
    , caller(std::move(caller))
    , on_done(std::move(on_done))
    , caller_monitor(context)
    , call(context, this->order)
    , gate(context, this->order)
    , guard(context, this->order)
    , body_memory(context.answer_memory)
{
}

void plain_delivery::start()
{
    const auto self = this->shared_from_this();
    this->caller_monitor.start(
        this->order, this->caller.has_left, [self] { self->end_at_limit(); },
        [self] { self->end_caller_left(); });
    this->context.retries.note_request(this->order.service, this->context.timers.now());
    this->search();
}

bool plain_delivery::is_candidate(const discovered_upstream& upstream) const
{
    return upstream.service == this->order.service && !upstream.is_leaving;
}

const discovered_upstream* plain_delivery::choose() const
{
    const time_point now = this->context.timers.now();
    const discovered_upstream* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [id, entry] : this->context.directory.entries()) {
        if (!this->is_candidate(entry.upstream)) {
            continue;
        }
        const engine_load& load = this->context.loads.of(id);
        if (!load.accepts_requests(now) || this->avoided.count(id) != 0 || this->target == id) {
            continue;
        }
        // Random fraction that spreads equally good choices of different hosts.
        constexpr double spread = 0.1;
        const double tie = spread * static_cast<double>(this->context.random() % 100) / 100;
        const bool is_here = entry.upstream.data_hall == this->context.data_hall;
        const double cost = load.requests + load.remote_requests + (is_here ? 0 : other_hall_requests) + tie;
        if (cost < least && this->gate.may_send(id)) {
            least = cost;
            best = &entry.upstream;
        }
    }
    return best;
}

void plain_delivery::search()
{
    if (is_stop_too_near(this->context, this->order)) {
        this->refuse(host_stopping_reason, retry_elsewhere_after);
        return;
    }
    if (!this->context.may_send()) {
        this->refuse("this host can't confirm that its configuration is the newest");
        return;
    }
    if (const auto until_return = retry_after_if_unreachable(this->context, this->order)) {
        this->refuse(unreachable_service_reason, *until_return);
        return;
    }
    if (const discovered_upstream* upstream = this->choose()) {
        this->send_to(*upstream);
        return;
    }
    const auto is_candidate = [this](const discovered_upstream& item) { return this->is_candidate(item); };
    if (const auto until_return = this->gate.retry_after_if_closed(is_candidate, this->avoided)) {
        this->refuse("the upstreams of the service accept no more requests now", *until_return);
        return;
    }
    const time_point hold_end = this->order.hold_end(this->context.settings);
    if (this->context.timers.now() >= hold_end) {
        this->refuse("no upstream of the service is available");
        return;
    }
    this->schedule_search();
}

void plain_delivery::schedule_search()
{
    this->search_timer = this->context.timers.schedule_after(
        this->context.settings.search_pause, [self = this->shared_from_this()] { self->search(); });
}

bool plain_delivery::is_cleared_to_send()
{
    const auto retry_search = [self = this->shared_from_this()] {
        if (!self->is_done) {
            self->search();
        }
    };
    return this->guard.is_cleared_to_send(retry_search,
        [this](const std::string& reason, duration retry_after) { this->refuse(reason, retry_after); });
}

void plain_delivery::send_to(const discovered_upstream& upstream)
{
    const time_point now = this->context.timers.now();
    if (!has_retry_allowance(this->context, this->order, this->arrivals)) {
        this->refuse("the fleet's retry allowance is used up");
        return;
    }
    // Checked last, since a granted trial that isn't used is lost to the fleet.
    if (!this->is_cleared_to_send()) {
        return;
    }
    if (!this->gate.take(upstream.id)) {
        this->schedule_search();
        return;
    }
    if (this->arrivals > 0) {
        [[maybe_unused]] const bool is_taken = this->context.retries.take(this->order.service, now);
    }
    if (this->sends == 0) {
        measure_since_arrival(this->context, this->order, request_moment::sent);
    }
    this->target = upstream.id;
    this->context.loads.add(upstream.id, 0);
    ++this->sends;
    ++this->arrivals;
    this->guard.note_sent();
    this->answer = {};
    this->log(event_type::sent, upstream.address.value());
    this->call.start(upstream.address, this->order.make_request(upstream.id, this->context.timers.now()),
        this->make_answer_hooks());
    if (this->order.route->may_repeat()) {
        this->slow_timer =
            this->context.timers.schedule_after(scale(this->order.route->latency_objective, slow_share),
                [self = this->shared_from_this()] { self->abandon_slow_call(); });
    }
}

answer_hooks plain_delivery::make_answer_hooks()
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

void plain_delivery::handle_head(int status, const http_headers& headers)
{
    this->answer = this->context.codec.decode_answer(status, headers);
    if (this->answer.id == this->order.request.id) {
        note_answer(this->context, *this->target, this->answer, this->call.sent_at());
    }
}

void plain_delivery::take_body(std::string_view bytes)
{
    const bool is_too_large = bytes.size() > max_answer_bytes - this->body.size();
    if (!is_too_large && this->body_memory.grow_to(this->body.size() + bytes.size())) {
        this->body += bytes;
        return;
    }
    this->call.end();
    const answer_fault fault = is_too_large ? answer_fault::body_bytes : answer_fault::host_memory;
    this->handle_call_end(call_ending::broken, note_answer_fault(this->context, fault));
}

void plain_delivery::handle_call_end(call_ending ending, const std::string& reason)
{
    if (ending == call_ending::not_connected) {
        --this->arrivals;
        if (!this->call.was_held_back()) {
            this->context.loads.suspend(
                *this->target, this->context.timers.now() + this->context.settings.suspension);
        }
        this->guard.note_not_reached();
        this->retry_or_fail("no connection: " + reason);
        return;
    }
    if (ending == call_ending::broken) {
        ++this->runs;
        this->guard.note_ended(*this->target);
        this->retry_or_fail("broken off: " + reason);
        return;
    }
    if (ending == call_ending::relay_lost) {
        ++this->runs;
        this->retry_or_fail("relaying host lost: " + reason);
        return;
    }
    this->handle_complete_answer();
}

void plain_delivery::handle_complete_answer()
{
    if (this->answer.id != this->order.request.id) {
        ++this->runs; // regardless of which upstream answered, this request may have run
        this->retry_or_fail("the answer belongs to another request");
        return;
    }
    if (this->answer.is_not_run) {
        // The refusal of a second copy doesn't show whether the first one was started.
        this->runs += this->call.was_sent_again() ? 1 : 0;
        avoid_after_refusal(this->context, *this->target);
        this->retry_or_fail("refused with status " + std::to_string(this->answer.status));
        return;
    }
    ++this->runs;
    if (!this->answer.is_signed && this->answer.status < http_status::first_server_error) {
        this->retry_or_fail("the answer is not signed");
        return;
    }
    if (this->answer.status >= http_status::first_server_error) {
        this->retry_or_pass_on();
        return;
    }
    this->guard.note_completed();
    this->pass_on();
}

void plain_delivery::pass_on()
{
    this->log(event_type::answered, "status " + std::to_string(this->answer.status));
    measure_since_arrival(this->context, this->order, request_moment::first_event);
    this->caller.respond({this->answer.status, this->answer.passed_on, std::move(this->body)});
    this->end();
}

/// Handles an answer of an upstream that ran the request and failed.
void plain_delivery::retry_or_pass_on()
{
    const bool has_room = this->sends < this->context.settings.max_sends
        && this->context.retries.left(this->order.service, this->context.timers.now()) >= 1;
    if (this->order.may_run_again(this->runs) && has_room) {
        this->retry_or_fail("status " + std::to_string(this->answer.status));
        return;
    }
    this->pass_on();
}

void plain_delivery::retry_or_fail(const std::string& reason)
{
    this->log(event_type::upstream_failed, reason + ", " + this->order.describe_content());
    if (this->target) {
        this->avoided.insert(*this->target);
    }
    this->release();
    if (this->order.may_run_again(this->runs) && this->sends < this->context.settings.max_sends) {
        this->search();
        return;
    }
    if (this->runs == 0) {
        this->refuse(reason);
        return;
    }
    this->caller.respond(make_failure(http_status::bad_gateway, reason));
    this->end();
}

/// Returns true if the request could be sent to another upstream now. Otherwise, abandoning the current call
/// would only lose its answer.
bool plain_delivery::may_run_elsewhere() const
{
    return this->order.may_run_again(this->runs + 1) && this->sends < this->context.settings.max_sends
        && this->context.may_send()
        && this->context.retries.left(this->order.service, this->context.timers.now()) >= 1
        && this->choose() != nullptr;
}

void plain_delivery::abandon_slow_call()
{
    this->slow_timer = 0;
    if (!this->may_run_elsewhere()) {
        return; // the call is the last possible attempt
    }
    ++this->runs;
    this->call.end();
    this->retry_or_fail("no answer within the time for a second attempt");
}

void plain_delivery::refuse(const std::string& reason)
{
    this->refuse(reason, this->context.settings.retry_after);
}

void plain_delivery::refuse(const std::string& reason, duration retry_after)
{
    this->log(event_type::refused, reason);
    this->caller.respond(make_last_answer(this->order, this->runs, retry_after, reason));
    this->end();
}

void plain_delivery::end_for_stop()
{
    if (this->is_done) {
        return;
    }
    // The upstream of the current call may have started the request.
    this->runs += this->target ? 1 : 0;
    this->refuse(host_stopping_reason, retry_elsewhere_after);
}

void plain_delivery::end_at_limit()
{
    this->log(event_type::time_limit, "");
    this->caller.respond(make_failure(http_status::gateway_timeout, "the time limit was exceeded"));
    this->end();
}

void plain_delivery::end_caller_left()
{
    this->log(event_type::caller_left, "");
    this->end();
}

void plain_delivery::release()
{
    this->context.timers.cancel(this->slow_timer);
    std::string().swap(this->body); // an assignment keeps the memory
    this->body_memory.release();
    if (this->target) {
        this->context.loads.subtract(*this->target, 0);
        this->target.reset();
    }
}

void plain_delivery::end()
{
    if (this->is_done) {
        return;
    }
    this->is_done = true;
    measure_since_arrival(this->context, this->order, request_moment::ended);
    this->call.end();
    this->release();
    this->caller_monitor.stop();
    this->context.timers.cancel(this->search_timer);
    if (this->on_done) {
        const std::function<void()> action = std::move(this->on_done);
        action();
    }
}

void plain_delivery::log(event_type what, const std::string& detail) const
{
    this->context.log(
        {what, this->order.request.id.value(), this->target ? this->target->value() : std::string(), detail});
}

} // namespace sailtiller
