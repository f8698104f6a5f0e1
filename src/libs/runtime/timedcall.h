// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/error.h>
#include <base/httpstatus.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// A request to a service of the platform, with the time to wait for its answer.
struct timed_call
{
    endpoint target;
    http_request request;
    duration limit{};
    error_origin origin;
    /// Statuses that are answers; any other one is a failure.
    std::vector<int> accepted = {http_status::ok, http_status::not_modified};
    std::size_t max_body_bytes = max_response_bytes; ///< a larger body is no answer
};

/// Sends a call; gives an answer of an accepted status, or an error for anything else. An `error` that
/// `on_answer` throws goes to `on_failure` too.
void send_timed(event_loop& loop, http_client& client, const timed_call& call,
    std::function<void(const http_response&)> on_answer, std::function<void(const error&)> on_failure);

} // namespace sailtiller
