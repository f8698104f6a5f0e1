// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/error.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// A request to a service of the platform, with the time to wait for its answer.
struct timed_call
{
    endpoint target;
    http_request request;
    duration limit{};
    error_origin origin;
};

/// Sends a call; gives a 200 answer, or a 304 to a call that asked whether something has changed, or an error
/// for anything else. An `error` that `on_answer` throws goes to `on_failure` too.
void send_timed(event_loop& loop, http_client& client, const timed_call& call,
    std::function<void(const http_response&)> on_answer, std::function<void(const error&)> on_failure);

} // namespace sailtiller
