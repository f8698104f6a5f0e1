// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <string>
#include <variant>

#include <entry/callererror.h>

namespace sailtiller {

enum class completion_kind {
    chat, ///< /v1/chat/completions
    text ///< /v1/completions
};

/// A caller's request for a completion, read from its JSON body.
struct completion_request
{
    completion_kind kind = completion_kind::chat;
    model_id model;
    std::string prompt; ///< the prompt, or the chat's messages as JSON text
    std::string parameters; ///< all other fields as JSON text; engines ignore unknown ones
    bool is_streamed = false;
    std::uint32_t most_tokens = 0; ///< 0 if the caller set no limit
};

/// Parses a request's body; returns the error for the caller if it is malformed.
std::variant<completion_request, caller_error> read_completion_request(
    completion_kind kind, const std::string& body);

} // namespace sailtiller
