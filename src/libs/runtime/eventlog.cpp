// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <runtime/eventlog.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <optional>

namespace sailtiller {

namespace {

constexpr const char* text_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n";
constexpr const char* json_pattern = "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n";

struct process_log
{
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getRoot();
    log_layout layout = log_layout::text;
};

std::optional<process_log>& the_log()
{
    static std::optional<process_log> log;
    return log;
}

log4cplus::LogLevel to_native(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::failure:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

/// A text as a JSON string, quotes included; bytes that are not UTF-8 are replaced.
std::string quote(std::string_view text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_text(std::string_view event, const std::vector<log_field>& fields)
{
    std::string line(event);
    for (const log_field& field : fields) {
        line += " " + field.name + "=" + quote(field.value);
    }
    return line;
}

std::string format_json(std::string_view event, const std::vector<log_field>& fields)
{
    std::string line = "\"event\":" + quote(event);
    for (const log_field& field : fields) {
        line += "," + quote(field.name) + ":" + quote(field.value);
    }
    return line;
}

} // namespace

void set_up_log(const log_settings& settings)
{
    process_log& log = the_log().emplace();
    log.layout = settings.layout;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    const char* pattern = settings.layout == log_layout::json ? json_pattern : text_pattern;
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log.logger.addAppender(appender);
    log.logger.setLogLevel(to_native(settings.least));
}

void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields)
{
    std::optional<process_log>& log = the_log();
    if (!log || !log->logger.isEnabledFor(to_native(level))) {
        return;
    }
    const std::string line =
        log->layout == log_layout::json ? format_json(event, fields) : format_text(event, fields);
    log->logger.forcedLog(to_native(level), line);
}

} // namespace sailtiller
