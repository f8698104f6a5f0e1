// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/error.h>
#include <base/ids.h>

#include <functional>
#include <string>
#include <vector>

namespace sailtiller {

/// One record of the platform's log.
struct log_entry
{
    log_offset offset;
    std::string data;
};

/// What one read of the log gave.
struct log_page
{
    log_offset first_retained; ///< every record before it has expired
    log_offset next; ///< where the next read goes on
    std::vector<log_entry> entries;
};

/// The platform's append-only log, as the core sees it. Callbacks run after the hook has returned.
struct log_hooks
{
    /// Appends a record. After a failure it may have been appended nevertheless.
    std::function<void(const std::string& data, std::function<void(log_offset)> on_done,
        std::function<void(const error&)> on_failure)>
        append;
    /// Reads records from an offset on; waits up to `wait` for the first one.
    std::function<void(log_offset from, duration wait, std::function<void(log_page)> on_page,
        std::function<void(const error&)> on_failure)>
        read;
};

} // namespace sailtiller
