// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/periodictask.h>

#include <functional>
#include <string>

namespace sailtiller {

/// Looks at the settings file, which the platform may change without a signal.
class settings_watch
{
public:
    /// `on_change` is called once the file has other content than before.
    settings_watch(event_loop& loop, std::function<void()> on_change);

    /// Looks at once, and goes on by itself. The first look counts as a change, as the file may have changed
    /// since the process read it.
    void start(std::string file);

private:
    void look();

    std::function<void()> on_change;
    std::string file;
    std::string text; ///< of the file at the last look; empty at first
    periodic_task looks;
};

} // namespace sailtiller
