// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/json.h>
#include <entry/completionrequest.h>
#include <entry/entryservice.h>

#include <algorithm>

namespace sailtiller {

namespace {

constexpr std::string_view chat_route = "/v1/chat/completions";
constexpr std::string_view text_route = "/v1/completions";
constexpr std::string_view models_route = "/v1/models";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr duration not_ready_retry = std::chrono::seconds(2);

caller_error make_error(int status, const char* type, const char* code, std::string message)
{
    caller_error item;
    item.status = status;
    item.type = type;
    item.code = code;
    item.message = std::move(message);
    return item;
}

/// Reads whether the caller allows its request to run twice. Without the header, completions may be repeated,
/// and service calls by their method.
std::optional<bool> read_repeatable(const http_request& request)
{
    const std::optional<std::string> text = find_header(request.headers, "x-sailtiller-repeatable");
    if (!text) {
        return std::nullopt;
    }
    return *text != "no";
}

bool is_repeatable_method(const plain_service& service, const std::string& method)
{
    const std::vector<std::string>& methods = service.repeatable_methods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace

entry_service::entry_service(entry_context context, std::function<void(std::function<void()>)> post)
    : context(std::move(context))
    , post(std::move(post))
{
}

void entry_service::refuse(http_exchange& exchange, const request_id& id, const caller_error& reason)
{
    this->context.metrics.rejected.add(reason.code);
    log_event(log_level::info, event_type::request_refused,
        {{"request", id.value()}, {"code", reason.code}, {"step", "check request"},
            {"peer", exchange.request().peer.value()}, {"reason", reason.message}});
    exchange.respond(error_response(reason, {{"x-request-id", id.value()}}));
}

void entry_service::refuse_while_stopping(http_exchange& exchange, const request_id& id)
{
    caller_error reason = make_error(http_status::unavailable, "server_error", "stopping",
        "this host is stopping and accepts no new requests; another host accepts the request now");
    reason.retry_after = retry_elsewhere_after;
    this->refuse(exchange, id, reason);
}

void entry_service::log_aborted_requests() const
{
    const time_point now = this->context.timers.now();
    for (const auto& [id, arrived] : this->under_way) {
        log_event(log_level::info, event_type::broken_off,
            {{"request", id.value()}, {"reason", this->stop.describe_cut(arrived, now)}});
    }
}

void entry_service::handle(const std::shared_ptr<http_exchange>& exchange)
{
    std::optional<admitted_request> request = this->authenticate(exchange);
    if (!request) {
        return;
    }
    const http_request& incoming = exchange->request();
    const std::string_view route = incoming.route();
    const bool is_completion = route == chat_route || route == text_route;
    if (is_completion || route == models_route) {
        const char* method = is_completion ? "POST" : "GET";
        if (incoming.method != method) {
            this->refuse(*exchange, request->id,
                make_error(http_status::method_not_allowed, "invalid_request_error", "method_not_allowed",
                    std::string("use ") + method + " for this path"));
        } else if (!is_completion) {
            this->list_models(*request);
        } else {
            this->run_completion(
                std::move(*request), route == chat_route ? completion_kind::chat : completion_kind::text);
        }
        return;
    }
    if (const plain_service* service = request->state->find_service(route)) {
        this->run_service(std::move(*request), *service);
        return;
    }
    this->refuse(*exchange, request->id,
        make_error(http_status::not_found, "invalid_request_error", "unknown_path",
            "no API and no service has the path " + std::string(route)));
}

std::optional<admitted_request> entry_service::authenticate(const std::shared_ptr<http_exchange>& exchange)
{
    admitted_request request;
    request.id = request_id(make_random_id(this->context.random));
    request.exchange = exchange;
    request.started_at = this->context.timers.now();
    // Checked here because every request passes through. Closing listeners leaves connections open, and
    // requests on these after the grace period would be cut off at the end of the stop.
    if (this->stop.is_grace_over(request.started_at)) {
        this->refuse_while_stopping(*exchange, request.id);
        return std::nullopt;
    }
    if (!this->state) {
        caller_error reason = make_error(http_status::unavailable, "server_error", "not_ready",
            "this host has no bundle in force yet; retry after the time in Retry-After");
        reason.retry_after = not_ready_retry;
        this->refuse(*exchange, request.id, reason);
        return std::nullopt;
    }
    request.state = this->state;
    const std::string header = find_header(exchange->request().headers, "authorization").value_or("");
    const bool has_key = header.starts_with(bearer_prefix);
    const client_account* account = has_key
        ? this->state->accounts().find_by_key(std::string_view(header).substr(bearer_prefix.size()))
        : nullptr;
    if (account == nullptr) {
        this->refuse(*exchange, request.id,
            make_error(http_status::unauthorized, "authentication_error", "invalid_api_key",
                has_key ? "unknown API key; check it or ask the operators"
                        : "send an API key as 'Authorization: Bearer KEY'"));
        return std::nullopt;
    }
    request.account = *account;
    request.answer_headers = {
        {"x-request-id", request.id.value()},
        {"x-sailtiller-generation", std::to_string(this->state->generation().value())},
    };
    return request;
}

void entry_service::admit(admitted_request request, std::function<void(admitted_request)> start)
{
    const client_account account = request.account;
    const auto held = std::make_shared<admitted_request>(std::move(request));
    this->under_way.emplace(held->id, held->started_at);
    this->context.shares.admit(
        account, [this, held, start = std::move(start)](const std::optional<share_refusal>& refusal) {
            this->context.metrics.record_queue(held->account.service_class.value(),
                held->account.name.value(), this->context.timers.now() - held->started_at);
            if (refusal) {
                this->under_way.erase(held->id);
                this->refuse_by_limit(*held, *refusal);
            } else {
                start(std::move(*held));
            }
        });
}

void entry_service::refuse_by_limit(const admitted_request& request, const share_refusal& refusal)
{
    caller_error reason = make_error(http_status::too_many_requests, "rate_limit_error", refusal.code.c_str(),
        "the account is at its limit; retry after the time in Retry-After");
    reason.retry_after = refusal.retry_after;
    this->refuse(*request.exchange, request.id, reason);
}

void entry_service::list_models(const admitted_request& request)
{
    json models = json::array();
    for (const model& item : request.state->content().models) {
        models.push_back(
            {{"id", item.name.value()}, {"object", "model"}, {"created", 0}, {"owned_by", "sailtiller"}});
    }
    http_response response{
        http_status::ok, request.answer_headers, json({{"object", "list"}, {"data", models}}).dump()};
    response.headers.push_back({"content-type", "application/json"});
    request.exchange->respond(response);
}

std::optional<caller_error> entry_service::check_completion(
    const admitted_request& request, const completion_request& wanted) const
{
    const model* found = request.state->find_model(wanted.model);
    if (found == nullptr) {
        caller_error reason = make_error(http_status::not_found, "invalid_request_error", "model_not_found",
            "there is no model " + wanted.model.value() + "; GET /v1/models lists them");
        reason.param = "model";
        return reason;
    }
    if (wanted.most_tokens > found->longest_answer) {
        caller_error reason = make_error(http_status::bad_request, "invalid_request_error", "answer_too_long",
            "this model gives at most " + std::to_string(found->longest_answer) + " tokens; ask for fewer");
        reason.param = "max_tokens";
        return reason;
    }
    return std::nullopt;
}

void entry_service::run_completion(admitted_request request, completion_kind kind)
{
    const std::variant<completion_request, caller_error> reading =
        read_completion_request(kind, request.exchange->request().body);
    if (const auto* reason = std::get_if<caller_error>(&reading)) {
        this->refuse(*request.exchange, request.id, *reason);
        return;
    }
    const auto& wanted = std::get<completion_request>(reading);
    if (const std::optional<caller_error> reason = this->check_completion(request, wanted)) {
        this->refuse(*request.exchange, request.id, *reason);
        return;
    }
    request.is_repeatable = read_repeatable(request.exchange->request()).value_or(true);
    this->admit(std::move(request),
        [this, wanted](admitted_request admitted) { this->start_completion(std::move(admitted), wanted); });
}

void entry_service::start_completion(admitted_request request, const completion_request& wanted)
{
    const request_id id = request.id;
    auto exchange =
        std::make_unique<completion_exchange>(this->context, std::move(request), wanted, [this, id] {
            this->post([this, id] {
                this->under_way.erase(id);
                this->completions.erase(id);
            });
        });
    completion_exchange& started = *exchange;
    this->completions.emplace(id, std::move(exchange));
    started.start();
}

void entry_service::run_service(admitted_request request, const plain_service& service)
{
    const http_request& incoming = request.exchange->request();
    const bool may_by_method = is_repeatable_method(service, incoming.method);
    request.is_repeatable = may_by_method && read_repeatable(incoming).value_or(true);
    this->admit(std::move(request),
        [this, service](admitted_request admitted) { this->start_service(std::move(admitted), service); });
}

void entry_service::start_service(admitted_request request, const plain_service& service)
{
    const request_id id = request.id;
    auto exchange =
        std::make_unique<service_exchange>(this->context, std::move(request), service, [this, id] {
            this->post([this, id] {
                this->under_way.erase(id);
                this->service_calls.erase(id);
            });
        });
    service_exchange& started = *exchange;
    this->service_calls.emplace(id, std::move(exchange));
    started.start();
}

} // namespace sailtiller
