// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/logservice.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// Where the platform's log is, and which stream of it is meant.
struct log_client_settings
{
    endpoint address;
    std::string stream;
    duration append_time = std::chrono::seconds(5); ///< to wait for the answer to an append
    duration read_slack = std::chrono::seconds(5); ///< to wait for a page, beyond the wait that was asked for
};

/// The hooks of a log that is reached over HTTP (docs/design/platform-protocols.md). The client and the loop
/// must outlive the hooks.
log_hooks make_log_hooks(event_loop& loop, http_client& client, const log_client_settings& settings);

} // namespace sailtiller
