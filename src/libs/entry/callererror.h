// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/httpmessage.h>
#include <delivery/outcome.h>

namespace sailtiller {

/// An error for a caller, in the format that common clients of completion APIs parse.
struct caller_error
{
    int status = 0;
    std::string
        type; ///< "invalid_request_error", "authentication_error", "rate_limit_error" or "server_error"
    std::string code; ///< fixed identifier for programs, such as "model_not_found"
    std::string message; ///< description for people, with the remedy
    std::string param; ///< the invalid field; empty if there is none
    request_outcome outcome = request_outcome::not_run;
    std::optional<duration> retry_after;
};

/// Returns the JSON body of an error.
std::string error_body(const caller_error& item);
/// Returns the complete answer for an error; `base` holds the headers that every answer to this request
/// carries.
http_response error_response(const caller_error& item, const http_headers& base);
/// Converts the failure of a request that was started to an error for the caller.
caller_error to_caller_error(const request_failure& failure);

} // namespace sailtiller
