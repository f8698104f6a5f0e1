// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/json.h>
#include <engines/stepcodec.h>

namespace sailtiller {

namespace {

/// A message is the length of its header (4 bytes, big endian), the header as CBOR, and raw bytes to the end.
/// The raw bytes are a hidden state of many kilobytes; they are outside the CBOR, which the library copies
/// byte by byte.
constexpr std::size_t length_bytes = 4;

std::string build_message(const json& head, const std::string& raw)
{
    std::string encoded;
    json::to_cbor(head, encoded);
    std::string message;
    message.reserve(length_bytes + encoded.size() + raw.size());
    for (std::size_t index = 0; index < length_bytes; ++index) {
        message += static_cast<char>(encoded.size() >> (8 * (length_bytes - 1 - index)));
    }
    return message.append(encoded).append(raw);
}

/// A message split into its header and the raw bytes, which refer to the message.
struct parsed_message
{
    json head;
    std::string_view raw;
};

parsed_message parse_message(std::string_view message, const char* step)
{
    std::size_t head_size = 0;
    for (std::size_t index = 0; index < length_bytes && index < message.size(); ++index) {
        head_size = head_size * 256 + static_cast<unsigned char>(message[index]);
    }
    if (message.size() < length_bytes || head_size > message.size() - length_bytes) {
        throw error({step, ""}, "malformed: message shorter than its header length");
    }
    const std::string_view head = message.substr(length_bytes, head_size);
    return {parse_cbor(head), message.substr(length_bytes + head_size)};
}

template <typename Decode>
auto decode_or_throw(const char* step, const std::string& bytes, const Decode& decode)
{
    try {
        return decode(parse_message(bytes, step));
    } catch (const json::exception& malformed) {
        throw error({step, ""}, std::string("malformed: ") + malformed.what());
    }
}

} // namespace

std::string encode_step_request(const step_request& step)
{
    json head = {
        {"stream", step.stream.value()},
        {"attempt", step.attempt.value()},
        {"position", step.position.value()},
        {"model", step.model.value()},
        {"first_layer", step.layers.first.value()},
        {"last_layer", step.layers.last.value()},
        {"kind", step.kind == step_kind::prefill ? "prefill" : "decode"},
    };
    if (step.kind == step_kind::prefill) {
        head["priority"] = step.priority;
        head["parameters"] = step.parameters;
        head["generated"] = step.generated;
        head["most_tokens"] = step.most_tokens;
    }
    return build_message(head, step.input);
}

step_request decode_step_request(const std::string& bytes)
{
    return decode_or_throw("read step request", bytes, [](const parsed_message& message) {
        const json& head = message.head;
        step_request step;
        step.stream = stream_id(head.at("stream").get<std::string>());
        step.attempt = attempt_number(head.at("attempt").get<std::uint32_t>());
        step.position = token_position(head.at("position").get<std::uint32_t>());
        step.model = model_id(head.at("model").get<std::string>());
        step.layers.first = layer_index(head.at("first_layer").get<std::uint32_t>());
        step.layers.last = layer_index(head.at("last_layer").get<std::uint32_t>());
        step.kind = head.at("kind") == "prefill" ? step_kind::prefill : step_kind::decode;
        step.input = message.raw;
        if (step.kind == step_kind::prefill) {
            step.priority = head.at("priority").get<std::int32_t>();
            step.parameters = head.at("parameters").get<std::string>();
            step.generated = head.at("generated").get<std::vector<std::string>>();
            step.most_tokens = head.at("most_tokens").get<std::uint32_t>();
        }
        return step;
    });
}

std::string encode_step_answer(const step_answer& answer)
{
    json head = {
        {"stream", answer.stream.value()},
        {"attempt", answer.attempt.value()},
        {"position", answer.position.value()},
    };
    if (answer.token) {
        head["token"] = answer.token->text;
        head["is_last"] = answer.token->is_last;
        head["finish_reason"] = answer.token->finish_reason;
    }
    if (answer.streams_running) {
        head["streams_running"] = *answer.streams_running;
    }
    return build_message(head, answer.output);
}

step_answer decode_step_answer(const std::string& bytes)
{
    return decode_or_throw("read step answer", bytes, [](const parsed_message& message) {
        const json& head = message.head;
        step_answer answer;
        answer.stream = stream_id(head.at("stream").get<std::string>());
        answer.attempt = attempt_number(head.at("attempt").get<std::uint32_t>());
        answer.position = token_position(head.at("position").get<std::uint32_t>());
        answer.output = message.raw;
        if (head.contains("token")) {
            answer.token = generated_token{head.at("token").get<std::string>(),
                head.at("is_last").get<bool>(), head.at("finish_reason").get<std::string>()};
        }
        if (head.contains("streams_running")) {
            answer.streams_running = head.at("streams_running").get<std::uint32_t>();
        }
        return answer;
    });
}

} // namespace sailtiller
