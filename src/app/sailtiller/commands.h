// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/programsettings.h>

#include <functional>
#include <string>
#include <vector>

namespace sailtiller {

/// One command of the operators' program.
struct command
{
    std::vector<std::string> words; ///< as {"bundle", "check"}
    std::string usage;
    std::string summary;
    /// Does the work; what it throws is told to the operator. Returns the exit code.
    std::function<int(const std::vector<std::string>& arguments)> run;
};

std::vector<command> key_commands();
std::vector<command> bundle_commands();
std::vector<command> fleet_commands();

/// Finds the command that the arguments begin with and runs it. Returns the exit code.
int run_command(const std::vector<std::string>& arguments);

/// Settings with the command's own usage in --help.
program_settings make_command_settings(const std::string& usage);
/// The one argument of a command. Throws `settings_stop` if there are none or more.
std::string require_argument(const program_settings& flags, const std::string& meaning);

} // namespace sailtiller
