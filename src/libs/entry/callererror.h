// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/httpmessage.h>
#include <delivery/outcome.h>

namespace sailtiller {

/// An error as a caller sees it, in the shape that stock clients of completion APIs parse.
struct caller_error
{
    int status = 0;
    std::string
        type; ///< "invalid_request_error", "authentication_error", "rate_limit_error" or "server_error"
    std::string code; ///< a fixed word for programs, as "model_not_found"
    std::string message; ///< for people: what is wrong and what to do
    std::string param; ///< the field that is wrong; empty if none is
    request_outcome outcome = request_outcome::not_run;
    std::optional<duration> retry_after;
};

/// The JSON body of an error.
std::string error_body(const caller_error& item);
/// The whole answer for an error; `base` are headers that every answer of this request carries.
http_response error_response(const caller_error& item, const http_headers& base);
/// What a caller is told when a request that was begun has failed.
caller_error to_caller_error(const request_failure& failure);

} // namespace sailtiller
