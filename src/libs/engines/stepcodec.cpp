// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/json.h>
#include <engines/stepcodec.h>

namespace sailtiller {

namespace {

std::string to_cbor(const json& item)
{
    std::string bytes;
    json::to_cbor(item, bytes);
    return bytes;
}

json to_binary(const std::string& bytes)
{
    return json::binary(json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string from_binary(const json& item)
{
    const json::binary_t& bytes = item.get_binary();
    return {bytes.begin(), bytes.end()};
}

template <typename Decode>
auto decode_or_throw(const char* step, const std::string& bytes, const Decode& decode)
{
    try {
        return decode(json::from_cbor(bytes));
    } catch (const json::exception& malformed) {
        throw error({step, ""}, std::string("malformed: ") + malformed.what());
    }
}

} // namespace

std::string encode_step_request(const step_request& step)
{
    json item = {
        {"stream", step.stream.value()},
        {"attempt", step.attempt.value()},
        {"position", step.position.value()},
        {"model", step.model.value()},
        {"first_layer", step.layers.first.value()},
        {"last_layer", step.layers.last.value()},
        {"kind", step.kind == step_kind::prefill ? "prefill" : "decode"},
        {"input", to_binary(step.input)},
    };
    if (step.kind == step_kind::prefill) {
        item["priority"] = step.priority;
        item["parameters"] = step.parameters;
        item["generated"] = step.generated;
        item["most_tokens"] = step.most_tokens;
    }
    return to_cbor(item);
}

step_request decode_step_request(const std::string& bytes)
{
    return decode_or_throw("read step request", bytes, [](const json& item) {
        step_request step;
        step.stream = stream_id(item.at("stream").get<std::string>());
        step.attempt = attempt_number(item.at("attempt").get<std::uint32_t>());
        step.position = token_position(item.at("position").get<std::uint32_t>());
        step.model = model_id(item.at("model").get<std::string>());
        step.layers.first = layer_index(item.at("first_layer").get<std::uint32_t>());
        step.layers.last = layer_index(item.at("last_layer").get<std::uint32_t>());
        step.kind = item.at("kind") == "prefill" ? step_kind::prefill : step_kind::decode;
        step.input = from_binary(item.at("input"));
        if (step.kind == step_kind::prefill) {
            step.priority = item.at("priority").get<std::int32_t>();
            step.parameters = item.at("parameters").get<std::string>();
            step.generated = item.at("generated").get<std::vector<std::string>>();
            step.most_tokens = item.at("most_tokens").get<std::uint32_t>();
        }
        return step;
    });
}

std::string encode_step_answer(const step_answer& answer)
{
    json item = {
        {"stream", answer.stream.value()},
        {"attempt", answer.attempt.value()},
        {"position", answer.position.value()},
        {"output", to_binary(answer.output)},
    };
    if (answer.token) {
        item["token"] = answer.token->text;
        item["is_last"] = answer.token->is_last;
        item["finish_reason"] = answer.token->finish_reason;
    }
    if (answer.streams_running) {
        item["streams_running"] = *answer.streams_running;
    }
    return to_cbor(item);
}

step_answer decode_step_answer(const std::string& bytes)
{
    return decode_or_throw("read step answer", bytes, [](const json& item) {
        step_answer answer;
        answer.stream = stream_id(item.at("stream").get<std::string>());
        answer.attempt = attempt_number(item.at("attempt").get<std::uint32_t>());
        answer.position = token_position(item.at("position").get<std::uint32_t>());
        answer.output = from_binary(item.at("output"));
        if (item.contains("token")) {
            answer.token = generated_token{item.at("token").get<std::string>(),
                item.at("is_last").get<bool>(), item.at("finish_reason").get<std::string>()};
        }
        if (item.contains("streams_running")) {
            answer.streams_running = item.at("streams_running").get<std::uint32_t>();
        }
        return answer;
    });
}

} // namespace sailtiller
