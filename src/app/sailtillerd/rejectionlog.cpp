// SPDX-License-Identifier: Apache-2.0
#include "rejectionlog.h"

#include <runtime/eventlog.h>

namespace sailtiller {

std::string log_rejection(const http_server_event& event)
{
    const bool is_silent = event.status == 0;
    std::string code = is_silent ? "no_request" : "http_" + std::to_string(event.status);
    // Balancers that only open a connection to see whether it works would fill the log.
    log_event(is_silent ? log_level::debug : log_level::info, event_type::request_refused,
        {{"code", code}, {"step", "read request"}, {"peer", event.peer.value()}, {"reason", event.reason}});
    return code;
}

} // namespace sailtiller
