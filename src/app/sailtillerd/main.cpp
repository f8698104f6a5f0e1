// SPDX-License-Identifier: Apache-2.0
#include "hostprocess.h"
#include "sitehost.h"

#include <base/error.h>
#include <runtime/programsettings.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace sailtiller;
    try {
        const daemon_settings settings = read_daemon_settings({argv + 1, argv + argc});
        set_up_log(settings.log);
        if (settings.store) {
            return site_host(settings).run();
        }
        return host_process(settings).run();
    } catch (const settings_stop& stop) {
        (stop.exit_code == exit_ok ? std::cout : std::cerr) << stop.text;
        return stop.exit_code;
    } catch (const error& failure) {
        std::cerr << "sailtillerd: " << failure.what() << "\n";
        return exit_failed;
    }
}
