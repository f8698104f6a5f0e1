// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/outcome.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// Converts a failure of the HTTP client to a failure of delivery. `peer` names the upstream.
send_failure to_send_failure(const http_failure& failure, const std::string& peer);

/// Returns whether the upstream states that it did not run the request: with status 429, or with 503 and the
/// header "x-not-run: true". A 503 alone may come from a proxy that had already forwarded the request.
[[nodiscard]] bool is_refusal(const http_response& response);

/// Returns the Retry-After header if it is given in seconds, from 0 to one day.
std::optional<duration> retry_after_of(const http_response& response);

} // namespace sailtiller
