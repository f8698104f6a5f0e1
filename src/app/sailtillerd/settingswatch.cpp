// SPDX-License-Identifier: Apache-2.0
#include "settingswatch.h"

#include <base/error.h>
#include <runtime/eventlog.h>
#include <runtime/textfile.h>

namespace sailtiller {

namespace {

/// Between two looks at the file.
constexpr duration settings_look_interval = std::chrono::seconds(1);

} // namespace

settings_watch::settings_watch(event_loop& loop, std::function<void()> on_change)
    : on_change(std::move(on_change))
    , looks(loop, "look at settings file", settings_look_interval, [this] { this->look(); })
{
}

void settings_watch::start(std::string file)
{
    this->file = std::move(file);
    this->looks.start();
}

void settings_watch::look()
{
    try {
        std::string next = read_text_file(this->file);
        if (next != this->text) {
            this->text = std::move(next);
            this->on_change();
        }
    } catch (const error& unreadable) {
        log_event(log_level::warning, event_type::settings_file_unreadable,
            {{"step", unreadable.step()}, {"peer", unreadable.peer()}, {"reason", unreadable.reason()}});
    }
}

} // namespace sailtiller
