// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/eventtype.h>

#include <string>
#include <vector>

namespace sailtiller {

enum class log_level { debug, info, warning, failure };
enum class log_layout { text, json };

/// One field of a log line.
struct log_field
{
    std::string name;
    std::string value;
};

/// Settings of the process's log, which goes to standard output.
struct log_settings
{
    log_level least = log_level::info;
    log_layout layout = log_layout::text;
};

/// Sets the log up; before this, nothing is logged.
void set_up_log(const log_settings& settings);
/// Writes one event as one line: its name and its fields. Control characters in values are escaped. Never
/// waits: a line is left out when nobody reads the output or when the event comes too often, and such lines
/// are counted.
void log_event(log_level level, event_type event, const std::vector<log_field>& fields = {});

} // namespace sailtiller
