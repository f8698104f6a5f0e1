// SPDX-License-Identifier: Apache-2.0
#include "commands.h"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace sailtiller;
    try {
        return run_command({argv + 1, argv + argc});
    } catch (const settings_stop& stop) {
        (stop.exit_code == exit_ok ? std::cout : std::cerr) << stop.text;
        return stop.exit_code;
    } catch (const std::exception& failure) {
        std::cerr << "sailtiller: " << failure.what() << "\n";
        return exit_failed;
    }
}
