// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpserver.h>

namespace sailtiller {

/// Logs a request that the server answered, or lost, before any handler had it. Returns its code for metrics.
std::string log_rejection(const http_server_event& event);

} // namespace sailtiller
