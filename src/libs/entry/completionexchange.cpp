// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <entry/completionexchange.h>

namespace sailtiller {

namespace {

/// Unsent bytes of an answer above which the caller is treated as disconnected.
constexpr std::size_t max_queued_bytes = 1U << 20U;

} // namespace

completion_exchange::completion_exchange(entry_context& context, admitted_request request,
    completion_request wanted, std::function<void()> on_finished)
    : context(context)
    , request(std::move(request))
    , wanted(std::move(wanted))
    , on_finished(std::move(on_finished))
    , frame{this->wanted.kind, this->request.id, this->wanted.model, context.unix_seconds()}
{
}

completion_exchange::~completion_exchange()
{
    this->request.exchange->when_abandoned(nullptr);
}

relay_request completion_exchange::make_relay_request() const
{
    const bundle& content = this->request.state->content();
    const std::uint32_t longest = this->request.state->find_model(this->wanted.model)->longest_answer;
    relay_request item;
    item.stream = stream_id(this->request.id.value());
    item.model = this->wanted.model;
    item.prompt = this->wanted.prompt;
    item.parameters = this->wanted.parameters;
    item.most_tokens = this->wanted.most_tokens == 0 ? longest : this->wanted.most_tokens;
    item.priority = this->request.account.priority;
    item.is_repeatable = this->request.is_repeatable;
    item.is_streamed = this->wanted.is_streamed;
    item.times = content.times;
    item.most_attempts = content.retries.attempts;
    return item;
}

relay_hooks completion_exchange::make_hooks()
{
    relay_hooks hooks;
    entry_context& shared = this->context;
    hooks.send_step = [&shared](const stage_option& stage, const step_request& step,
                          std::function<void(const step_answer&)> on_answer,
                          std::function<void(const send_failure&)> on_failure) {
        return shared.engines.send_step(stage, step, std::move(on_answer), std::move(on_failure));
    };
    hooks.cancel_step = [&shared](call_id call) { shared.engines.cancel(call); };
    hooks.release = [&shared](const stage_option& stage, const stream_id& stream, attempt_number attempt) {
        shared.engines.release(stage, stream, attempt);
    };
    hooks.choose_chain = [this](const std::set<upstream_id>& avoid) {
        const serving_state& state = *this->request.state;
        const model_routes* routes = state.routes().routes_of(this->wanted.model);
        return state.policy_for(this->request.account)(*routes, {this->context.timers.now(), avoid});
    };
    hooks.take_retry = [&shared] { return shared.retries.take_retry(); };
    hooks.note = [this](const std::string& step, const std::string& peer, const std::string& reason) {
        this->note(step, peer, reason);
    };
    hooks.timers = shared.timers;
    return hooks;
}

void completion_exchange::start()
{
    relay_listener listener;
    listener.on_token = [this](const generated_token& token, token_position position) {
        this->handle_token(token, position);
    };
    listener.on_end = [this] { this->handle_end(); };
    listener.on_failure = [this](const request_failure& failure) { this->handle_failure(failure); };
    this->request.exchange->when_abandoned([this] { this->handle_caller_disconnect(); });
    this->context.retries.note_first_attempt();
    this->relay =
        std::make_unique<stream_relay>(this->make_relay_request(), this->make_hooks(), std::move(listener));
    this->relay->start();
}

void completion_exchange::handle_token(const generated_token& token, token_position position)
{
    http_exchange& exchange = *this->request.exchange;
    if (exchange.has_caller_left() || exchange.queued() > max_queued_bytes) {
        this->handle_caller_disconnect();
        return;
    }
    const time_point now = this->context.timers.now();
    const label_value& account = this->request.account.name.value();
    const label_value& service_class = this->request.account.service_class.value();
    const bool is_first = position.value() == 0;
    if (is_first) {
        this->context.metrics.record_first_token(service_class, account, now - this->request.started_at);
    } else {
        this->context.metrics.record_between_tokens(service_class, account, now - this->last_token_at);
    }
    this->last_token_at = now;
    ++this->tokens;
    this->finish_reason = token.finish_reason;
    if (!this->wanted.is_streamed) {
        this->text += token.text;
        return;
    }
    if (is_first) {
        http_headers headers = this->request.answer_headers;
        headers.push_back({"content-type", "text/event-stream"});
        headers.push_back({"cache-control", "no-store"});
        exchange.start(http_status::ok, headers);
    }
    exchange.send(token_event(this->frame, token, is_first));
}

void completion_exchange::handle_end()
{
    http_exchange& exchange = *this->request.exchange;
    if (this->wanted.is_streamed) {
        exchange.send(done_event());
        exchange.finish();
    } else {
        http_response response{http_status::ok, this->request.answer_headers,
            completion_body(this->frame, this->text, this->finish_reason, this->tokens)};
        response.headers.push_back({"content-type", "application/json"});
        exchange.respond(response);
    }
    this->close("ok");
}

void completion_exchange::handle_failure(const request_failure& failure)
{
    http_exchange& exchange = *this->request.exchange;
    const caller_error reason = to_caller_error(failure);
    if (exchange.is_started()) {
        exchange.send(error_event(reason));
        exchange.abort();
    } else {
        exchange.respond(error_response(reason, this->request.answer_headers));
    }
    log_event(log_level::warning, event_type::request_failed,
        {{"request", this->request.id.value()}, {"account", this->request.account.name.value()},
            {"outcome", to_text(failure.outcome)}, {"step", failure.origin.step},
            {"peer", failure.origin.peer}, {"reason", failure.reason}});
    this->close(to_text(failure.outcome));
}

void completion_exchange::handle_caller_disconnect()
{
    this->relay->cancel();
    this->request.exchange->abort();
    log_event(log_level::info, event_type::caller_gone,
        {{"request", this->request.id.value()}, {"tokens", std::to_string(this->tokens)}});
    this->close("abandoned");
}

void completion_exchange::close(const std::string& outcome)
{
    if (this->is_closed) {
        return;
    }
    this->is_closed = true;
    host_metrics& metrics = this->context.metrics;
    const relay_counters& counts = this->relay->counters();
    metrics.requests.add(outcome);
    metrics.tokens.add(this->wanted.model.value(), this->tokens);
    metrics.attempts.add("first", counts.attempts > 0 ? 1 : 0);
    metrics.attempts.add("retry", counts.attempts > 0 ? counts.attempts - 1 - counts.moves : 0);
    metrics.attempts.add("move", counts.moves);
    metrics.dropped_answers.add("stale", counts.stale_answers);
    metrics.record_total(this->request.account.service_class.value(), this->request.account.name.value(),
        this->context.timers.now() - this->request.started_at);
    this->note("finish", "", outcome + ", " + std::to_string(this->tokens) + " tokens");
    this->context.shares.finish(this->request.account.name);
    this->context.retries.note_finished();
    this->on_finished();
}

void completion_exchange::note(const std::string& step, const std::string& peer, const std::string& reason)
{
    this->context.decisions.note(this->request.id, {this->context.timers.now(), step, peer, reason});
}

} // namespace sailtiller
