// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/error.h>

#include <optional>
#include <string>

namespace sailtiller {

/// What is known of one message to an upstream that brought no good answer.
enum class send_certainty {
    not_sent, ///< no byte of it can have reached the upstream
    refused, ///< the upstream said, by a status that its protocol defines so, that it did not run it
    ran_and_failed, ///< the upstream ran it and says that it fails anywhere: the request is at fault
    may_have_run ///< anything else
};

/// Why a message to an upstream brought no good answer.
struct send_failure
{
    send_certainty certainty = send_certainty::may_have_run;
    error_origin origin;
    std::string reason;
    std::optional<duration> retry_after; ///< the upstream's own wish
};

/// What a caller is told of a request that brought no whole answer.
enum class request_outcome {
    not_run, ///< it was run nowhere
    unknown, ///< it may have run, in part or whole
    failed ///< it ran, and an upstream said that it failed
};

/// The text of an outcome in headers and bodies: "not-run", "unknown" or "failed".
[[nodiscard]] const char* to_text(request_outcome outcome);

/// Everything that a caller is told of a request that brought no whole answer.
struct request_failure
{
    request_outcome outcome = request_outcome::unknown;
    error_origin origin;
    std::string reason;
    std::optional<duration> retry_after;
};

} // namespace sailtiller
