// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace sailtiller {

/// Ends a program at its start with a text for the operator: the faults of all settings, or help.
struct settings_stop
{
    std::string text;
    int exit_code = 0;
};

/// Exit codes of both programs.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1; ///< the work failed
constexpr int exit_bad_usage = 2; ///< a wrong flag, variable or command

/// Reads a program's settings: each one is a flag and an environment variable (SAILTILLER_ and the flag's
/// name in upper case with underscores), and a line of the file that --config names. A flag goes before the
/// variable, and the variable before the file. All faults are collected and told together.
class program_settings
{
public:
    program_settings(std::string program, std::string summary);

    /// Declares a setting; without a fallback it must be given.
    void declare(
        const std::string& name, const std::string& help, const std::optional<std::string>& fallback);
    /// Declares a setting that may be left out.
    void declare_optional(const std::string& name, const std::string& help);
    /// Declares a setting that may be given several times; the variable holds a list with commas.
    void declare_list(const std::string& name, const std::string& help);
    /// Reads flags and variables. Throws `settings_stop` for --help, --version and unknown flags.
    void parse(const std::vector<std::string>& arguments);

    std::string text(const std::string& name);
    std::optional<std::string> optional_text(const std::string& name);
    std::vector<std::string> texts(const std::string& name);
    /// A whole number within [least, most].
    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most);
    /// A number with fractions within [least, most].
    double number(const std::string& name, double least, double most);
    duration milliseconds(const std::string& name, std::int64_t least, std::int64_t most);
    endpoint address(const std::string& name);
    std::optional<endpoint> optional_address(const std::string& name);
    /// One of a few words.
    std::string choice(const std::string& name, const std::vector<std::string>& accepted);
    /// Arguments that are not flags.
    [[nodiscard]] const std::vector<std::string>& arguments() const { return this->positional; }

    void add_fault(const std::string& name, const std::string& value, const std::string& accepted);
    /// Throws `settings_stop` with every fault if there is any.
    void require_sound() const;

private:
    void read_file();
    endpoint check_address(const std::string& name, const std::string& value);
    [[nodiscard]] std::string help_text() const;

    std::string program;
    std::string summary;
    boost::program_options::options_description options;
    boost::program_options::variables_map values;
    std::vector<std::string> positional;
    std::vector<std::string> required;
    std::vector<std::string> faults;
};

} // namespace sailtiller
