// SPDX-License-Identifier: Apache-2.0
#include "hostprocess.h"
#include "sitehost.h"

#include <base/error.h>
#include <runtime/allocator.h>
#include <runtime/programsettings.h>

#include <cstdlib>
#include <iostream>

namespace {

/// Ends the process once its host has stopped. The log's library joins threads of its own when it is taken
/// down, and on the platform that doesn't return: of 14 planned stops 14 processes were there until they were
/// killed, up to 3 s after their last answer; none without it. Every line of the log is out by then. Checks
/// of memory run when a process ends in the usual way.
int end_process(int code)
{
#ifndef __SANITIZE_ADDRESS__
    std::cout.flush();
    std::_Exit(code);
#endif
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace sailtiller;
    configure_allocator();
    try {
        const daemon_settings settings = read_daemon_settings({argv + 1, argv + argc});
        set_up_log(settings.log);
        log_replaced_settings(settings);
        if (settings.store) {
            return end_process(site_host(settings).run());
        }
        return end_process(host_process(settings).run());
    } catch (const settings_stop& stop) {
        (stop.exit_code == exit_ok ? std::cout : std::cerr) << stop.text;
        return stop.exit_code;
    } catch (const error& failure) {
        std::cerr << "sailtillerd: " << failure.what() << "\n";
        return exit_failed;
    }
}
