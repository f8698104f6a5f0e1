// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace sailtiller {

/// Cause of the end of a stream whose answer had started and is incomplete.
enum class stream_end {
    runs_used_up, ///< the last run allowed by the route failed
    not_resumable, ///< the last event that the caller has carries no id to resume after
    suspected_request, ///< the request is suspected of crashing upstreams
    no_engines, ///< the bundle has no engines for the service
    time_limit,
    host_stop,
    caller_left
};

/// Text used in the log and as a metric label.
std::string_view name_of(stream_end end);

} // namespace sailtiller
