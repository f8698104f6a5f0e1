// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/error.h>

#include <optional>
#include <string>

namespace sailtiller {

/// Knowledge about a message to an upstream that failed.
enum class send_certainty {
    not_sent, ///< no byte can have reached the upstream
    refused, ///< the upstream reported by a protocol status that it did not run the message
    ran_and_failed, ///< the upstream ran it and reports that it fails on any upstream: the request is at
                    ///< fault
    may_have_run ///< all other cases
};

/// Failure of a message to an upstream.
struct send_failure
{
    send_certainty certainty = send_certainty::may_have_run;
    error_origin origin;
    std::string reason;
    std::optional<duration> retry_after; ///< requested by the upstream
};

/// Outcome reported to the caller of a failed request.
enum class request_outcome {
    not_run, ///< no upstream ran it
    unknown, ///< it may have run partly or completely
    failed ///< it ran, and an upstream reported a failure
};

/// Returns the text of an outcome for headers and bodies: "not-run", "unknown" or "failed".
[[nodiscard]] const char* to_text(request_outcome outcome);

/// Failure reported to the caller of a request.
struct request_failure
{
    request_outcome outcome = request_outcome::unknown;
    error_origin origin;
    std::string reason;
    std::optional<duration> retry_after;
};

} // namespace sailtiller
