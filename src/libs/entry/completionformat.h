// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/stepmessage.h>
#include <entry/completionrequest.h>

namespace sailtiller {

/// What every chunk and body of one answer repeats.
struct completion_frame
{
    completion_kind kind = completion_kind::chat;
    request_id request;
    model_id model;
    std::int64_t created = 0; ///< seconds since 1970, as callers' programs expect
};

/// One server-sent event with one token.
std::string token_event(const completion_frame& frame, const generated_token& token, bool is_first);
/// A server-sent event that tells an error in mid-stream; no "[DONE]" follows it.
std::string error_event(const caller_error& reason);
/// The last server-sent event of a whole answer.
std::string done_event();
/// The body of an answer that is given in one piece.
std::string completion_body(const completion_frame& frame, const std::string& text,
    const std::string& finish_reason, std::uint32_t tokens);

} // namespace sailtiller
