// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/outcome.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// A failed call of the HTTP client in the terms of delivery.
send_failure to_send_failure(const http_failure& failure, const std::string& peer);

/// True for the statuses by which an upstream says that it did not run a request: 429 always, and 503 if the
/// answer carries "x-not-run: true", since a 503 alone may come from a proxy that had passed the request on.
[[nodiscard]] bool is_refusal(const http_response& response);

/// The Retry-After header in seconds, if there is one of that form.
std::optional<duration> retry_after_of(const http_response& response);

} // namespace sailtiller
