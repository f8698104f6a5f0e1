// SPDX-License-Identifier: Apache-2.0
#include "commands.h"

#include <algorithm>
#include <iostream>

namespace sailtiller {

namespace {

std::vector<command> all_commands()
{
    std::vector<command> commands = key_commands();
    for (const std::vector<command>& group : {bundle_commands(), fleet_commands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

std::string overview(const std::vector<command>& commands)
{
    std::string text = "sailtiller: the operators' program of a sailtiller fleet.\n\nCommands:\n";
    for (const command& item : commands) {
        text += "  " + item.usage + "\n      " + item.summary + "\n";
    }
    return text + "\n'sailtiller COMMAND --help' lists the flags of a command.\n";
}

bool begins_with(const std::vector<std::string>& arguments, const std::vector<std::string>& words)
{
    return arguments.size() >= words.size() && std::equal(words.begin(), words.end(), arguments.begin());
}

} // namespace

int run_command(const std::vector<std::string>& arguments)
{
    const std::vector<command> commands = all_commands();
    for (const command& item : commands) {
        if (begins_with(arguments, item.words)) {
            const auto first = arguments.begin() + static_cast<std::ptrdiff_t>(item.words.size());
            return item.run({first, arguments.end()});
        }
    }
    const bool wants_help = !arguments.empty() && arguments.front() == "--help";
    if (wants_help) {
        std::cout << overview(commands);
        return exit_ok;
    }
    if (!arguments.empty() && arguments.front() == "--version") {
        make_command_settings("").parse({"--version"});
    }
    std::cerr << overview(commands);
    return exit_bad_usage;
}

program_settings make_command_settings(const std::string& usage)
{
    return {"sailtiller", "Usage: " + usage};
}

std::string require_argument(const program_settings& flags, const std::string& meaning)
{
    if (flags.arguments().size() != 1) {
        throw settings_stop{"sailtiller: expected exactly one argument: " + meaning + "\n", exit_bad_usage};
    }
    return flags.arguments().front();
}

} // namespace sailtiller
