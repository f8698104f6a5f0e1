// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <engines/stepcodec.h>
#include <standins/enginestandin.h>

namespace sailtiller::standins {

namespace {

http_response make_response(int status, std::string body, const char* type = "application/json")
{
    return {status, {{"content-type", type}, {"x-request-id", "standin"}}, std::move(body)};
}

std::string attempt_key(const step_request& step)
{
    return step.stream.value() + "/" + std::to_string(step.attempt.value()) + "/"
        + std::to_string(step.layers.first.value());
}

std::string to_bytes(std::uint64_t hidden)
{
    return std::to_string(hidden);
}

} // namespace

engine_standin::engine_standin(event_loop& loop, engine_settings settings)
    : loop(loop)
    , settings(settings)
{
}

void engine_standin::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string_view route = exchange->request().route();
    if (route == "/engine/v1/step") {
        this->handle_step(exchange);
    } else if (route == "/engine/v1/release") {
        const json item = json::from_cbor(exchange->request().body.text());
        const std::string prefix =
            item["stream"].get<std::string>() + "/" + std::to_string(item["attempt"].get<int>()) + "/";
        std::erase_if(this->states, [&](const auto& entry) { return entry.first.starts_with(prefix); });
        exchange->respond(make_response(200, "{}"));
    } else if (route == "/control/fault") {
        this->set_fault_by_name(exchange);
    } else {
        this->report(exchange);
    }
}

void engine_standin::set_fault_by_name(const std::shared_ptr<http_exchange>& exchange)
{
    static const std::map<std::string, engine_fault> names{{"none", engine_fault::none},
        {"stall", engine_fault::stall}, {"error", engine_fault::error}, {"refuse", engine_fault::refuse},
        {"reject", engine_fault::reject}, {"wrong_stream", engine_fault::wrong_stream}};
    const auto found = names.find(exchange->request().body.text());
    if (found == names.end()) {
        exchange->respond(make_response(400, "unknown fault"));
        return;
    }
    this->fault = found->second;
    exchange->respond(make_response(200, "{}"));
}

void engine_standin::report(const std::shared_ptr<http_exchange>& exchange) const
{
    const json report = {{"steps", this->step_count}, {"open_streams", this->states.size()},
        {"violations", this->violation_count}};
    exchange->respond(make_response(200, report.dump()));
}

void engine_standin::handle_step(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->fault == engine_fault::stall) {
        this->stalled.push_back(exchange);
        return;
    }
    if (this->fault == engine_fault::error) {
        exchange->respond(make_response(500, "fault"));
        return;
    }
    if (this->fault == engine_fault::reject) {
        exchange->respond(make_response(422, "the prompt can't be read"));
        return;
    }
    if (this->fault == engine_fault::refuse) {
        http_response refusal = make_response(429, "fault");
        refusal.headers.push_back({"retry-after", "1"});
        exchange->respond(refusal);
        return;
    }
    const step_request step = decode_step_request(exchange->request().body.text());
    std::optional<step_answer> answer = this->run(step);
    if (!answer) {
        exchange->respond(make_response(409, "the step doesn't follow what this attempt left here"));
        return;
    }
    if (this->fault == engine_fault::wrong_stream) {
        answer->stream = stream_id("another");
    }
    const duration time =
        step.kind == step_kind::prefill ? this->settings.prefill_time : this->settings.step_time;
    const std::string body = encode_step_answer(*answer);
    if (time == duration::zero()) {
        exchange->respond(make_response(200, body, "application/octet-stream"));
        return;
    }
    this->loop.schedule_after(
        time, [exchange, body] { exchange->respond(make_response(200, body, "application/octet-stream")); });
}

std::optional<step_answer> engine_standin::run(const step_request& step)
{
    const std::string key = attempt_key(step);
    const bool is_prefill = step.kind == step_kind::prefill;
    if (!this->run_steps.insert(key + "/" + std::to_string(step.position.value())).second) {
        ++this->violation_count;
        return std::nullopt;
    }
    attempt_state& state = this->states[key];
    const bool is_first_stage = step.layers.first.value() == 0;
    if (is_prefill) {
        state.most_tokens = step.most_tokens;
        state.prefix = is_first_stage ? begin_hidden(step.input, step.generated) : 0;
    } else if (state.next_position != step.position.value()) {
        ++this->violation_count;
        return std::nullopt;
    } else if (is_first_stage) {
        state.prefix = extend_hidden(state.prefix, step.input);
    }
    state.next_position = step.position.value() + 1;
    ++this->step_count;
    const std::uint64_t before = is_first_stage ? state.prefix : std::stoull(step.input);
    const std::uint64_t hidden = run_layers(before, step.layers);
    step_answer answer;
    answer.stream = step.stream;
    answer.attempt = step.attempt;
    answer.position = step.position;
    answer.streams_running = static_cast<std::uint32_t>(this->states.size());
    if (step.layers.last.value() + 1 == this->settings.layers) {
        answer.token = make_token(hidden, step.position.value(), state.most_tokens);
    } else {
        answer.output = to_bytes(hidden);
    }
    return answer;
}

} // namespace sailtiller::standins
