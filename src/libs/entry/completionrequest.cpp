// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/json.h>
#include <entry/completionrequest.h>

namespace sailtiller {

namespace {

constexpr std::int64_t max_requested_tokens = 10'000'000;

/// Thrown to end parsing with the error for the caller.
struct request_rejected
{
    caller_error reason;
};

[[noreturn]] void reject_request(const std::string& param, const std::string& message)
{
    caller_error reason;
    reason.status = http_status::bad_request;
    reason.type = "invalid_request_error";
    reason.code = "invalid_value";
    reason.message = message;
    reason.param = param;
    throw request_rejected{reason};
}

std::string read_model(const json& body)
{
    const auto found = body.find("model");
    if (found == body.end() || !found->is_string() || found->get_ref<const std::string&>().empty()) {
        reject_request("model", "the field model must be the name of a model; GET /v1/models lists them");
    }
    return found->get<std::string>();
}

void check_message(const json& message, std::size_t index)
{
    const bool has_role = message.is_object() && message.contains("role") && message["role"].is_string();
    if (!has_role || !message.contains("content")) {
        reject_request("messages", "message " + std::to_string(index) + " must have a role and a content");
    }
}

std::string read_messages(const json& body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        reject_request("messages", "the field messages must be a non-empty array");
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        check_message((*found)[index], index);
    }
    return found->dump();
}

std::string read_prompt(const json& body)
{
    const auto found = body.find("prompt");
    if (found == body.end() || !found->is_string()) {
        reject_request("prompt", "the field prompt must be a string");
    }
    return found->get<std::string>();
}

bool read_flag(const json& body, const char* field)
{
    const auto found = body.find(field);
    if (found == body.end() || found->is_null()) {
        return false;
    }
    if (!found->is_boolean()) {
        reject_request(field, std::string("the field ") + field + " must be true or false");
    }
    return found->get<bool>();
}

std::uint32_t read_most_tokens(const json& body)
{
    for (const char* field : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(field);
        if (found == body.end() || found->is_null()) {
            continue;
        }
        const bool is_whole = found->is_number_integer();
        if (!is_whole || found->get<std::int64_t>() < 1
            || found->get<std::int64_t>() > max_requested_tokens) {
            reject_request(field, std::string("the field ") + field + " must be a whole number from 1");
        }
        return found->get<std::uint32_t>();
    }
    return 0;
}

completion_request read_fields(completion_kind kind, const json& body)
{
    completion_request request;
    request.kind = kind;
    request.model = model_id(read_model(body));
    request.prompt = kind == completion_kind::chat ? read_messages(body) : read_prompt(body);
    request.is_streamed = read_flag(body, "stream");
    request.most_tokens = read_most_tokens(body);
    if (body.contains("n") && body["n"] != 1) {
        reject_request("n", "only one choice for each request is served; leave n out or set it to 1");
    }
    json parameters = body;
    for (const char* field : {"model", "messages", "prompt", "stream"}) {
        parameters.erase(field);
    }
    request.parameters = parameters.dump();
    return request;
}

} // namespace

std::variant<completion_request, caller_error> read_completion_request(
    completion_kind kind, const std::string& body)
{
    try {
        std::vector<json_fault> faults;
        const json document = parse_json(body, faults);
        if (!faults.empty()) {
            reject_request(faults.front().path, "invalid request body: " + faults.front().reason);
        }
        if (!document.is_object()) {
            reject_request("", "the body must be a JSON object");
        }
        return read_fields(kind, document);
    } catch (const request_rejected& stopped) {
        return stopped.reason;
    } catch (const json::exception& unusable) {
        caller_error reason;
        reason.status = http_status::bad_request;
        reason.type = "invalid_request_error";
        reason.code = "invalid_value";
        reason.message = std::string("invalid request body: ") + unusable.what();
        return reason;
    }
}

} // namespace sailtiller
