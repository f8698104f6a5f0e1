// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <runtime/eventlog.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <runtime/loglimiter.h>

#include <optional>
#include <poll.h>
#include <unistd.h>

namespace sailtiller {

namespace {

constexpr const char* text_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n";
constexpr const char* json_pattern = "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n";

/// A pipe that reports room has at least this much, so that a line up to this length never blocks.
constexpr std::size_t longest_line = 4000;

struct process_log
{
    log4cplus::Initializer initializer;
    log_limiter limiter{log_limit{}};
    std::uint64_t unread = 0; ///< lines that nobody took from the output
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

/// False if nobody reads the output, so that a line would have to wait.
bool has_room_for_line()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0 && (output.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0;
}

std::string format_line(const process_log& log, std::string_view event, const std::vector<log_field>& fields)
{
    std::string line =
        log.layout == log_layout::json ? format_json(event, fields) : format_text(event, fields);
    if (line.size() > longest_line) {
        // A cut line of JSON would be none; the fields of such a line are left out instead.
        const std::vector<log_field> note = {{"cut", std::to_string(line.size())}};
        line = log.layout == log_layout::json ? format_json(event, note) : line.substr(0, longest_line);
    }
    return line;
}

time_point read_steady_clock()
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(elapsed));
}

} // namespace

void set_up_log(const log_settings& settings)
{
    // The library can't be started twice, so a log that was set up before is only told anew.
    process_log& log = the_log() ? *the_log() : the_log().emplace();
    log.logger.removeAllAppenders();
    log.limiter = log_limiter(log_limit{});
    log.unread = 0;
    log.layout = settings.layout;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    const char* pattern = settings.layout == log_layout::json ? json_pattern : text_pattern;
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log.logger.addAppender(appender);
    log.logger.setLogLevel(to_native(settings.least));
}

void log_event(log_level level, event_type type, const std::vector<log_field>& fields)
{
    std::optional<process_log>& log = the_log();
    if (!log || !log->logger.isEnabledFor(to_native(level))) {
        return;
    }
    if (!has_room_for_line()) {
        ++log->unread;
        return;
    }
    const std::string_view event = name_of(type);
    const log_limiter::verdict verdict = log->limiter.ask(event, read_steady_clock());
    if (!verdict.may_write) {
        return;
    }
    const auto write = [&log](log_level severity, const std::string& line) {
        log->logger.forcedLog(to_native(severity), line);
    };
    if (verdict.left_out > 0 || log->unread > 0) {
        write(log_level::warning,
            format_line(*log, name_of(event_type::log_lines_left_out),
                {{"of", std::string(event)}, {"count", std::to_string(verdict.left_out)},
                    {"unread", std::to_string(log->unread)}}));
        log->unread = 0;
    }
    write(level, format_line(*log, event, fields));
}

} // namespace sailtiller
