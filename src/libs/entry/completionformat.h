// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/stepmessage.h>
#include <entry/completionrequest.h>

namespace sailtiller {

/// Fields common to all chunks and bodies of one answer.
struct completion_frame
{
    completion_kind kind = completion_kind::chat;
    request_id request;
    model_id model;
    std::int64_t created = 0; ///< Unix time in seconds
};

/// Returns a server-sent event with one token.
std::string token_event(const completion_frame& frame, const generated_token& token, bool is_first);
/// Returns a server-sent event for an error during a stream; no "[DONE]" follows it.
std::string error_event(const caller_error& reason);
/// Returns the event that ends a complete stream.
std::string done_event();
/// Returns the body of an answer that is not streamed.
std::string completion_body(const completion_frame& frame, const std::string& text,
    const std::string& finish_reason, std::uint32_t tokens);

} // namespace sailtiller
