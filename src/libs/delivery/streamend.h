// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace sailtiller {

/// What ended a stream whose answer had begun and isn't whole.
enum class stream_end {
    runs_used_up, ///< the last run that the route allows has failed
    suspected_request, ///< upstreams have ended under this request
    no_engines, ///< its bundle names no engines for its service
    time_limit,
    host_stop,
    caller_left
};

/// As it stands in the log and as a label of metrics.
std::string_view name_of(stream_end end);

} // namespace sailtiller
