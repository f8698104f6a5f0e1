// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <entry/completionformat.h>

namespace sailtiller {

namespace {

std::string format_event(const std::string& data)
{
    return "data: " + data + "\n\n";
}

std::string dump(const json& item)
{
    return item.dump(-1, ' ', false, json::error_handler_t::replace);
}

json frame_to_json(const completion_frame& frame, const char* chat_object, const json& choice)
{
    const bool is_chat = frame.kind == completion_kind::chat;
    return {
        {"id", (is_chat ? "chatcmpl-" : "cmpl-") + frame.request.value()},
        {"object", is_chat ? chat_object : "text_completion"},
        {"created", frame.created},
        {"model", frame.model.value()},
        {"choices", json::array({choice})},
    };
}

json finish_to_json(const std::string& finish_reason)
{
    return finish_reason.empty() ? json(nullptr) : json(finish_reason);
}

} // namespace

std::string token_event(const completion_frame& frame, const generated_token& token, bool is_first)
{
    json choice = {{"index", 0}, {"finish_reason", finish_to_json(token.finish_reason)}};
    if (frame.kind == completion_kind::chat) {
        choice["delta"] = {{"content", token.text}};
        if (is_first) {
            choice["delta"]["role"] = "assistant";
        }
    } else {
        choice["text"] = token.text;
    }
    return format_event(dump(frame_to_json(frame, "chat.completion.chunk", choice)));
}

std::string error_event(const caller_error& reason)
{
    return format_event(error_body(reason));
}

std::string done_event()
{
    return format_event("[DONE]");
}

std::string completion_body(const completion_frame& frame, const std::string& text,
    const std::string& finish_reason, std::uint32_t tokens)
{
    json choice = {{"index", 0}, {"finish_reason", finish_to_json(finish_reason)}};
    if (frame.kind == completion_kind::chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    json body = frame_to_json(frame, "chat.completion", choice);
    body["usage"] = {{"completion_tokens", tokens}};
    return dump(body);
}

} // namespace sailtiller
