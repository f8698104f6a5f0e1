// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpcall.h>

#include <optional>

namespace sailtiller {

/// A small request whose answer is wanted whole and soon, or not at all.
struct whole_call
{
    endpoint target;
    http_request request;
    duration limit{}; ///< to the whole answer, the connection included
    /// Kept connections; without it, the call has one of its own.
    connection_pool* pool = nullptr;
    std::optional<endpoint> source{}; ///< as in `http_call_options`
    std::function<void(bool is_made)> on_connection{}; ///< as in `http_call_options`
    std::optional<duration> connect_limit{}; ///< if shorter than `limit`
};

/// What came of a call.
struct whole_call_result
{
    std::optional<http_response> response; ///< of whatever status
    std::string failure; ///< why there is none, for the log
};

/// Collects the answer of a call that `start` begins with the handlers given to it, and cancels it after the
/// limit by what `start` returns. Gives the answer, or why none came within the limit.
void collect_whole(event_loop& loop, duration limit,
    const std::function<std::function<void()>(http_call_handlers)>& start,
    const std::function<void(const whole_call_result&)>& on_end);

/// Sends a call; gives its answer, or why none came within the limit. The request may go out twice if a kept
/// connection turns out to be closed.
void send_whole(
    event_loop& loop, const whole_call& call, const std::function<void(const whole_call_result&)>& on_end);

} // namespace sailtiller
