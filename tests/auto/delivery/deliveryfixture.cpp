// SPDX-License-Identifier: Apache-2.0
#include "deliveryfixture.h"

namespace sailtiller::tests {

namespace {

std::string write_path(const std::vector<stage_endpoint>& path)
{
    std::string text;
    for (const stage_endpoint& stop : path) {
        text += (text.empty() ? "" : ",") + stop.address.value() + "=" + std::to_string(stop.first_layer)
            + "-" + std::to_string(stop.end_layer);
    }
    return text;
}

http_request encode_request(const caller_request& request, const upstream_request& upstream)
{
    http_request message;
    message.method = request.method;
    message.headers.push_back({"path", write_path(upstream.path)});
    message.headers.push_back({"target", upstream.target.value()});
    if (upstream.last_event) {
        message.headers.push_back({"last-event", upstream.last_event->value()});
    }
    return message;
}

upstream_answer decode_answer(int status, const http_headers& headers)
{
    upstream_answer answer;
    answer.status = status;
    answer.id = request_id(find_header(headers, "id").value_or(""));
    answer.is_not_run = find_header(headers, "not-run").has_value();
    answer.is_signed = find_header(headers, "proof").has_value();
    if (const auto address = find_header(headers, "at")) {
        answer.at_fault = endpoint(*address);
    }
    if (const auto limit = find_header(headers, "limit")) {
        answer.requests_per_second = std::stod(*limit);
    }
    if (const auto seconds = find_header(headers, "pause")) {
        answer.pause = std::chrono::seconds(std::stoi(*seconds));
    }
    answer.is_leaving = find_header(headers, "leaving").has_value();
    answer.passed_on = headers;
    return answer;
}

} // namespace

delivery_fixture::delivery_fixture()
{
    stall_detector_hooks hooks;
    hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
    hooks.probe = [this](const upstream_id& id, const std::function<void(std::optional<double>)>&) {
        this->probed.push_back(id.value());
    };
    hooks.find_other = [](const upstream_id&) { return std::nullopt; };
    hooks.is_assigned_prober = [](const upstream_id&) { return true; };
    hooks.on_dead = [](const std::vector<upstream_id>&) {};
    hooks.on_alive = [](const upstream_id&, double) {};
    this->watch = std::make_unique<stall_detector>(stall_detector_settings{}, hooks);
    this->bundle->pools.push_back({service_id("llm"), "", 0, make_sample_profile()});
    this->bundle->pools.push_back({service_id("plain"), "", 0, std::nullopt});
    this->bundle->build_index();
    limit_client_hooks limit_hooks;
    limit_hooks.timers = hooks.timers;
    limit_hooks.hosts = [] { return std::vector{host_id("h")}; };
    limit_hooks.ask = [this](const host_id&, const limit_query& question,
                          const std::function<void(const limit_grant&)>& on_grant,
                          const std::function<void()>&) {
        on_grant({true, std::min(this->grant, question.wanted), std::chrono::seconds(1), question.statement});
    };
    this->holder = std::make_unique<limit_client>(host_id("h"), this->limits, limit_hooks);
    this->context = std::make_unique<delivery_context>(this->make_context());
}

delivery_fixture::~delivery_fixture()
{
    for (const std::shared_ptr<fake_send>& send : this->sends) {
        send->handlers = {};
    }
}

delivery_context delivery_fixture::make_context()
{
    return {make_timer_hooks(this->timers, [this] { return this->now; }),
        {nullptr, &encode_request, &decode_answer, nullptr, nullptr},
        [this](const upstream_target& target, const http_request& message, bool may_repeat,
            http_call_handlers handlers) {
            const auto send = std::make_shared<fake_send>();
            *send = {target.address, message, may_repeat, std::move(handlers), false};
            this->sends.push_back(send);
            return cancel_call([send] { send->is_cancelled = true; });
        },
        [this](const path_change& change, std::function<void(const path_change_answer&)> on_answer) {
            this->changes.push_back(change);
            this->change_answers.push_back(std::move(on_answer));
        },
        *this->watch, this->directory, this->loads, this->retries, this->pipes, this->suspects,
        [this](const suspect_list& tried, std::function<void(bool)> on_answer) {
            this->claims.emplace_back(tried, std::move(on_answer));
        },
        *this->holder, [this](const upstream_id& id) { this->leaving.push_back(id.value()); }, this->pauses,
        make_seeded_random(1), data_hall_id("x"), [this] { return this->may_send; },
        [](const delivery_event&) {}, {}, {}, {}, {}, {}};
}

void delivery_fixture::put_engine(
    const std::string& id, int number, layer_span held, const std::string& hall, const std::string& card)
{
    discovered_upstream upstream;
    upstream.id = upstream_id(id);
    upstream.service = service_id("llm");
    upstream.address = endpoint("10.0.0.1:" + std::to_string(number));
    upstream.data_hall = data_hall_id(hall);
    upstream.card = card;
    upstream.held = held;
    this->directory.put(upstream, this->now);
}

void delivery_fixture::put_service(const std::string& id, int number, const std::string& hall)
{
    discovered_upstream upstream;
    upstream.id = upstream_id(id);
    upstream.service = service_id("plain");
    upstream.address = endpoint("10.0.0.2:" + std::to_string(number));
    upstream.data_hall = data_hall_id(hall);
    this->directory.put(upstream, this->now);
}

delivery_order delivery_fixture::make_order(route_kind kind)
{
    service_route route;
    route.kind = kind;
    route.time_limit = std::chrono::seconds(3);
    route.latency_objective = std::chrono::milliseconds(500);
    route.longest_pause = std::chrono::milliseconds(200);
    route.most_attempts = kind == route_kind::single_run ? 1 : 2;
    route.is_resumable = kind == route_kind::stream;
    this->bundle->routes = {route};
    delivery_order order;
    order.request.id = request_id("r1");
    order.request.method = "POST";
    order.request.prompt_tokens = 80;
    order.request.max_answer_tokens = 20;
    order.bundle = this->bundle;
    order.route = &this->bundle->routes.front();
    order.service = service_id(kind == route_kind::stream ? "llm" : "plain");
    order.arrived = this->now;
    return order;
}

caller_hooks delivery_fixture::make_caller()
{
    caller_hooks hooks;
    hooks.respond = [this](const http_response& response) { this->caller.answer = response; };
    hooks.start = [this](int status, const http_headers&) { this->caller.status = status; };
    hooks.send = [this](std::string_view bytes) { this->caller.body += bytes; };
    hooks.finish = [this] { this->caller.is_finished = true; };
    hooks.abort = [this] { this->caller.is_aborted = true; };
    hooks.has_left = [this] { return this->caller.has_left; };
    return hooks;
}

void delivery_fixture::pass(duration time)
{
    const time_point end = this->now + time;
    while (this->now < end) {
        this->now = std::min(end, this->now + std::chrono::milliseconds(5));
        this->timers.run_due(this->now);
    }
}

void delivery_fixture::give_head(fake_send& send, int status, const http_headers& headers)
{
    send.handlers.on_head(status, headers);
}

http_headers delivery_fixture::signed_head(const std::string& id)
{
    return {{"id", id}, {"proof", "p"}};
}

std::string delivery_fixture::events(unsigned first, unsigned end)
{
    std::string text;
    for (unsigned id = first; id < end; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: t\n\n";
    }
    return text;
}

void delivery_fixture::end(fake_send& send, call_ending ending)
{
    send.handlers.on_end(ending, "test");
}

std::string delivery_fixture::path_of(const fake_send& send)
{
    return find_header(send.message.headers, "path").value_or("");
}

} // namespace sailtiller::tests
