// SPDX-License-Identifier: Apache-2.0
#include <delivery/streamrelay.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// A step is abandoned before its limit once it takes this many times the upstream's usual time, so that a
/// stream that may move recovers sooner from an upstream that doesn't answer. The factor allows for a batch
/// that waits for another stream's prefill (measured in docs/design/routing.md).
constexpr std::int64_t suspicion_factor = 8;
constexpr duration min_suspicion_time = std::chrono::milliseconds(100);
/// Interval at which a started stream repeats its search for a chain or a retry.
constexpr duration search_pause = std::chrono::milliseconds(25);

} // namespace

stream_relay::stream_relay(relay_request request, relay_hooks hooks, relay_listener listener)
    : request(std::move(request))
    , hooks(std::move(hooks))
    , listener(std::move(listener))
{
}

stream_relay::~stream_relay()
{
    *this->is_alive = false;
    if (!this->finished) {
        this->cancel();
    }
}

void stream_relay::start()
{
    this->request_timer = this->hooks.timers.schedule_after(this->request.times.request, [this] {
        this->request_timer = 0;
        const std::string peer = this->stages.empty() ? "" : this->stage().holder.value();
        // The upstream may be processing a step that was sent, whether or not it has answered.
        this->may_have_run = this->may_have_run || this->call != 0;
        this->end_attempt();
        this->fail(this->may_have_run ? request_outcome::unknown : request_outcome::not_run,
            {send_certainty::may_have_run, {"run request", peer}, "the request's time limit was exceeded",
                {}});
    });
    this->begin_attempt();
}

void stream_relay::begin_attempt()
{
    std::optional<chain> chosen = this->hooks.choose_chain(this->failed_upstreams);
    if (!chosen) {
        this->fail(this->may_have_run ? request_outcome::unknown : request_outcome::not_run,
            {send_certainty::not_sent, {"choose chain", this->request.model.value()},
                "no chain of live upstreams holds all layers", {}});
        return;
    }
    ++this->counts.attempts;
    this->counts.moves += this->tokens.empty() ? 0 : 1;
    this->attempt = attempt_number(this->attempt.value() + 1);
    this->stages = std::move(*chosen);
    std::string names;
    std::string ranges;
    for (const stage_option& item : this->stages) {
        item.load->note_sent();
        names += (names.empty() ? "" : " > ") + item.holder.value();
        ranges += (ranges.empty() ? "" : " > ") + std::to_string(item.layers.first.value()) + "-"
            + std::to_string(item.layers.last.value());
    }
    this->hooks.note(
        "choose chain", names, "attempt " + std::to_string(this->attempt.value()) + ", layers " + ranges);
    this->stage_index = 0;
    this->kind = step_kind::prefill;
    this->stage_input = this->request.prompt;
    this->send_to_stage();
}

void stream_relay::end_attempt()
{
    if (this->call != 0) {
        this->hooks.cancel_step(this->call);
        this->call = 0;
    }
    ++this->call_serial;
    if (this->step_timer != 0) {
        this->hooks.timers.cancel(this->step_timer);
        this->step_timer = 0;
    }
    for (const stage_option& item : this->stages) {
        item.load->note_finished();
        this->hooks.release(item, this->request.stream, this->attempt);
    }
    this->stages.clear();
}

step_request stream_relay::make_step() const
{
    step_request step;
    step.stream = this->request.stream;
    step.attempt = this->attempt;
    step.position = token_position(static_cast<std::uint32_t>(this->tokens.size()));
    step.model = this->request.model;
    step.layers = this->stage().layers;
    step.kind = this->kind;
    step.priority = this->request.priority;
    step.input = this->stage_input;
    step.most_tokens = this->request.most_tokens;
    step.parameters = this->request.parameters;
    if (this->kind == step_kind::prefill && this->stage_index == 0) {
        step.generated = this->tokens;
    }
    return step;
}

void stream_relay::send_to_stage()
{
    const std::uint64_t serial = ++this->call_serial;
    const std::weak_ptr<bool> alive = this->is_alive;
    const auto is_current = [this, alive, serial] {
        const std::shared_ptr<bool> held = alive.lock();
        return held && *held && !this->finished && serial == this->call_serial;
    };
    this->step_sent = this->hooks.timers.now();
    this->expect_answer(this->answer_limit());
    this->call = this->hooks.send_step(
        this->stage(), this->make_step(),
        [this, is_current, serial](const step_answer& answer) {
            if (is_current()) {
                this->handle_answer(serial, answer);
            }
        },
        [this, is_current](const send_failure& failure) {
            if (is_current()) {
                this->call = 0;
                this->handle_failure(failure);
            }
        });
}

duration stream_relay::answer_limit() const
{
    if (this->kind == step_kind::prefill) {
        return this->request.times.first_answer;
    }
    const std::optional<duration> usual = this->stage().load->answer_time();
    // Abandoning a slow upstream helps only if another attempt is allowed.
    const bool has_alternative =
        this->request.is_repeatable && this->attempt.value() < this->request.most_attempts;
    if (!has_alternative || !usual) {
        return this->request.times.step;
    }
    return std::min(this->request.times.step, std::max(min_suspicion_time, *usual * suspicion_factor));
}

void stream_relay::expect_answer(duration limit)
{
    if (this->step_timer != 0) {
        this->hooks.timers.cancel(this->step_timer);
    }
    this->step_timer = this->hooks.timers.schedule_after(limit, [this] {
        this->step_timer = 0;
        this->handle_timeout();
    });
}

bool stream_relay::is_expected(const step_answer& answer) const
{
    const bool is_last_stage = this->stage_index + 1 == this->stages.size();
    return answer.stream == this->request.stream && answer.attempt == this->attempt
        && answer.position.value() == this->tokens.size() && answer.token.has_value() == is_last_stage;
}

void stream_relay::handle_answer(call_id awaited, const step_answer& answer)
{
    this->call = 0;
    // Any answer proves that the upstream ran something for this call.
    this->may_have_run = true;
    if (!this->is_expected(answer)) {
        ++this->counts.stale_answers;
        this->hooks.note("check answer", this->stage().holder.value(), "dropped: not the step that was sent");
        this->handle_failure({send_certainty::may_have_run, {"check answer", this->stage().holder.value()},
            "the answer belongs to another stream, attempt or position", {}});
        return;
    }
    const time_point now = this->hooks.timers.now();
    this->stage().load->note_success(now - this->step_sent);
    if (answer.streams_running) {
        this->stage().load->note_report(now, *answer.streams_running);
    }
    if (answer.token) {
        this->handle_token(*answer.token);
    } else if (awaited == this->call_serial) {
        ++this->stage_index;
        this->stage_input = answer.output;
        this->send_to_stage();
    }
}

void stream_relay::handle_token(const generated_token& made)
{
    generated_token token = made;
    if (!token.is_last && this->tokens.size() + 1 >= this->request.most_tokens) {
        token.is_last = true;
        token.finish_reason = "length";
    }
    const token_position position(static_cast<std::uint32_t>(this->tokens.size()));
    this->tokens.push_back(token.text);
    const std::weak_ptr<bool> alive = this->is_alive;
    this->listener.on_token(token, position);
    if (alive.expired() || this->finished) {
        return; // the listener has cancelled the stream
    }
    if (token.is_last) {
        this->finish();
        this->listener.on_end();
        return;
    }
    this->stage_index = 0;
    this->kind = step_kind::decode;
    this->stage_input = token.text;
    this->move_from_leaving();
}

void stream_relay::move_from_leaving()
{
    bool is_leaving = false;
    for (const stage_option& item : this->stages) {
        is_leaving = is_leaving || item.load->is_leaving();
    }
    const bool may_move = is_leaving && this->request.is_repeatable;
    if (!may_move || !this->hooks.choose_chain(this->failed_upstreams)) {
        this->send_to_stage();
        return;
    }
    this->hooks.note("move stream", this->stage().holder.value(), "a stage is leaving");
    this->end_attempt();
    this->begin_attempt();
}

void stream_relay::handle_timeout()
{
    this->hooks.cancel_step(this->call);
    this->call = 0;
    this->handle_failure({send_certainty::may_have_run, {"await answer", this->stage().holder.value()},
        "no answer within the time limit", {}});
}

void stream_relay::handle_failure(const send_failure& failure)
{
    const time_point now = this->hooks.timers.now();
    const stage_option failed_stage = this->stage();
    if (failure.certainty == send_certainty::ran_and_failed) {
        // The request is at fault, not the upstream; any other one would give the same answer.
        this->hooks.note(failure.origin.step, failed_stage.holder.value(), failure.reason);
        this->fail(request_outcome::failed, failure);
        return;
    }
    if (failure.retry_after) {
        failed_stage.load->note_retry_after(now, *failure.retry_after);
    } else {
        failed_stage.load->note_failure(now);
    }
    this->may_have_run = this->may_have_run || failure.certainty == send_certainty::may_have_run;
    this->failed_upstreams.insert(failed_stage.holder);
    this->hooks.note(failure.origin.step, failed_stage.holder.value(), failure.reason);
    this->end_attempt();

    const request_outcome outcome = this->may_have_run ? request_outcome::unknown : request_outcome::not_run;
    const bool may_repeat = this->request.is_repeatable || !this->may_have_run;
    if (!may_repeat) {
        this->hooks.note("retry", "", "not repeated: the request may have run and is not repeatable");
        this->fail(outcome, failure);
        return;
    }
    if (this->attempt.value() >= this->request.most_attempts) {
        this->hooks.note("retry", "", "not repeated: the request's attempts are used up");
        this->fail(outcome, failure);
        return;
    }
    if (this->request.is_streamed && !this->tokens.empty()) {
        this->search_chain();
        if (this->stages.empty()) {
            this->hooks.note("retry", "", "waiting for a chain and the host's retry budget");
        }
        return;
    }
    if (!this->hooks.take_retry()) {
        this->hooks.note("retry", "", "not repeated: the host's retry budget is used up");
        this->fail(outcome, failure);
        return;
    }
    this->begin_attempt();
}

/// The caller of a started stream can't be asked to retry, so only the request's time limit ends the search.
void stream_relay::search_chain()
{
    if (this->hooks.choose_chain(this->failed_upstreams) && this->hooks.take_retry()) {
        this->begin_attempt();
        return;
    }
    this->step_timer = this->hooks.timers.schedule_after(search_pause, [this] {
        this->step_timer = 0;
        this->search_chain();
    });
}

void stream_relay::fail(request_outcome outcome, const send_failure& failure)
{
    this->finish();
    this->listener.on_failure({outcome, failure.origin, failure.reason, failure.retry_after});
}

void stream_relay::finish()
{
    this->end_attempt();
    this->finished = true;
    if (this->request_timer != 0) {
        this->hooks.timers.cancel(this->request_timer);
        this->request_timer = 0;
    }
}

void stream_relay::cancel()
{
    if (!this->finished) {
        this->hooks.note("cancel", "", "the caller disconnected");
        this->finish();
    }
}

} // namespace sailtiller
