// SPDX-License-Identifier: Apache-2.0
#include <delivery/streamend.h>

namespace sailtiller {

std::string_view name_of(stream_end end)
{
    switch (end) {
    case stream_end::runs_used_up:
        return "runs_used_up";
    case stream_end::not_resumable:
        return "not_resumable";
    case stream_end::suspected_request:
        return "suspected_request";
    case stream_end::no_engines:
        return "no_engines";
    case stream_end::time_limit:
        return "time_limit";
    case stream_end::host_stop:
        return "host_stop";
    case stream_end::caller_left:
        return "caller_left";
    }
    return "unknown";
}

} // namespace sailtiller
