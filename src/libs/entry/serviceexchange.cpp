// SPDX-License-Identifier: Apache-2.0
#include <entry/callererror.h>
#include <entry/serviceexchange.h>

namespace sailtiller {

service_exchange::service_exchange(entry_context& context, admitted_request request,
    const plain_service& service, std::function<void()> on_finished)
    : context(context)
    , request(std::move(request))
    , service(service)
    , on_finished(std::move(on_finished))
{
}

service_hooks service_exchange::make_hooks()
{
    service_hooks hooks;
    entry_context& shared = this->context;
    hooks.send = [this, &shared](const service_option& target,
                     std::function<void(const service_answer&)> on_answer,
                     std::function<void(const send_failure&)> on_failure) {
        return shared.services.send(
            target, this->request.exchange->request(), std::move(on_answer), std::move(on_failure));
    };
    hooks.cancel_call = [&shared](call_id item) { shared.services.cancel(item); };
    hooks.choose_upstream = [this](const std::set<upstream_id>& avoid) {
        const std::vector<service_option>& options =
            this->request.state->routes().options_of(this->service.name);
        return choose_service_option(options, {this->context.timers.now(), avoid}, this->context.random);
    };
    hooks.take_retry = [&shared] { return shared.retries.take_retry(); };
    hooks.note = [this, &shared](
                     const std::string& step, const std::string& peer, const std::string& reason) {
        shared.decisions.note(this->request.id, {shared.timers.now(), step, peer, reason});
    };
    hooks.timers = shared.timers;
    return hooks;
}

void service_exchange::start()
{
    const bundle& content = this->request.state->content();
    service_call::request item;
    item.service = this->service.name;
    item.is_repeatable = this->request.is_repeatable;
    item.times = content.times;
    item.most_attempts = content.retries.attempts;
    this->context.retries.note_first_attempt();
    this->call = std::make_unique<service_call>(
        item, this->make_hooks(), [this](const service_answer& answer) { this->handle_answer(answer); },
        [this](const request_failure& failure) { this->handle_failure(failure); });
    this->call->start();
}

void service_exchange::handle_answer(const service_answer& answer)
{
    http_response response{answer.status, this->request.answer_headers, answer.body};
    for (const auto& [name, value] : answer.headers) {
        response.headers.push_back({name, value});
    }
    this->request.exchange->respond(response);
    this->close("ok");
}

void service_exchange::handle_failure(const request_failure& failure)
{
    this->request.exchange->respond(error_response(to_caller_error(failure), this->request.answer_headers));
    log_event(log_level::warning, event_type::request_failed,
        {{"request", this->request.id.value()}, {"account", this->request.account.name.value()},
            {"outcome", to_text(failure.outcome)}, {"step", failure.origin.step},
            {"peer", failure.origin.peer}, {"reason", failure.reason}});
    this->close(to_text(failure.outcome));
}

void service_exchange::close(const std::string& outcome)
{
    this->context.metrics.requests.add(outcome);
    this->context.metrics.record_total(this->request.account.service_class.value(),
        this->request.account.name.value(), this->context.timers.now() - this->request.started_at);
    this->context.shares.finish(this->request.account.name);
    this->context.retries.note_finished();
    this->on_finished();
}

} // namespace sailtiller
