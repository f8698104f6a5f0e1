// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpcall.h>

#include <optional>

namespace sailtiller {

/// Largest body of the answer to a small request that names no other bound: such answers are a status, and a
/// line of text at most.
constexpr std::size_t max_small_answer_bytes = std::size_t{64} << 10U;

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
    std::size_t max_body_bytes = max_small_answer_bytes; ///< a larger body is no answer
    std::function<void(answer_fault)> on_fault{}; ///< as in `http_call_options`, and for the body
};

/// What came of a call.
struct whole_call_result
{
    std::optional<http_response> response; ///< of whatever status
    std::string failure; ///< why there is none, for the log
};

/// What is taken for the answer of a whole call.
struct whole_answer_limits
{
    duration time{}; ///< to its end
    std::size_t max_body_bytes = max_small_answer_bytes;
    std::function<void(answer_fault)> on_fault{}; ///< told if the body is larger; optional
};

/// Collects the answer of a call that `start` begins with the handlers given to it, and cancels it at a limit
/// by what `start` returns. Gives the answer, or why none came within the limits.
void collect_whole(event_loop& loop, const whole_answer_limits& limits,
    const std::function<std::function<void()>(http_call_handlers)>& start,
    const std::function<void(const whole_call_result&)>& on_end);

/// Sends a call; gives its answer, or why none came within the limit. The request may go out twice if a kept
/// connection turns out to be closed.
void send_whole(
    event_loop& loop, const whole_call& call, const std::function<void(const whole_call_result&)>& on_end);

} // namespace sailtiller
