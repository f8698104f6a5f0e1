// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <boost/program_options.hpp>

#include <map>
#include <optional>
#include <set>
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

/// Value of the settings file that can't be used, and what is used instead.
struct replaced_setting
{
    std::string name;
    std::string reason; ///< the value, what is accepted and the replacement
};

/// Reads a program's settings: each one is a flag and an environment variable (SAILTILLER_ and the flag's
/// name in upper case with underscores), and a line of the file that --config names. A flag goes before the
/// variable, and the variable before the file. All faults are collected and told together.
///
/// Numbers and times of the file are written by the platform and change while nobody watches, so one that
/// can't be used doesn't end the program: it is replaced, and the replacement is to be logged. Everything
/// else, and whatever stands in a flag or a variable, must be sound.
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
    /// Sets the texts of numbers and times that replace unusable ones of the file; without one, a number out
    /// of range is replaced by the nearest one that is accepted, and any other text by the setting's
    /// fallback.
    void set_replacements(std::map<std::string, std::string> texts) { this->replacements = std::move(texts); }
    /// Reads flags and variables. Throws `settings_stop` for --help, --version and unknown flags.
    void parse(const std::vector<std::string>& arguments);

    std::string text(const std::string& name);
    std::optional<std::string> optional_text(const std::string& name);
    std::vector<std::string> texts(const std::string& name);
    /// A whole number within [least, most], also written as 2000.0 or 2e3.
    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most);
    /// A number with fractions within [least, most].
    double number(const std::string& name, double least, double most);
    /// A time within [least, most] milliseconds: a number, with fractions, of milliseconds or, if "s" follows
    /// it, of seconds.
    duration milliseconds(const std::string& name, std::int64_t least, std::int64_t most);
    endpoint address(const std::string& name);
    std::optional<endpoint> optional_address(const std::string& name);
    /// One of a few words.
    std::string choice(const std::string& name, const std::vector<std::string>& accepted);
    /// Arguments that are not flags.
    [[nodiscard]] const std::vector<std::string>& arguments() const { return this->positional; }

    /// Unusable numbers and times of the file that were read so far.
    [[nodiscard]] const std::vector<replaced_setting>& replaced() const { return this->replaced_settings; }
    /// Texts of the numbers and times that are used, by name, as `set_replacements` takes them.
    [[nodiscard]] const std::map<std::string, std::string>& used_texts() const { return this->used; }

    void add_fault(const std::string& name, const std::string& value, const std::string& accepted);
    /// Throws `settings_stop` with every fault if there is any.
    void require_sound() const;

private:
    /// Reads a number or a time from a setting's text; nothing if it is none.
    using number_reader = std::optional<double> (*)(std::string_view text);

    void read_file();
    double bounded_number(
        const std::string& name, double least, double most, number_reader read, const std::string& accepted);
    /// Text of the number or time that replaces an unusable one, which may have been out of range.
    [[nodiscard]] std::string replacement_of(
        const std::string& name, std::optional<double> unusable, double least, double most) const;
    endpoint check_address(const std::string& name, const std::string& value);
    [[nodiscard]] std::string help_text() const;

    std::string program;
    std::string summary;
    boost::program_options::options_description options;
    boost::program_options::variables_map values;
    std::vector<std::string> positional;
    std::vector<std::string> required;
    std::vector<std::string> faults;
    std::map<std::string, std::string> fallbacks; ///< by name
    std::set<std::string> given_directly; ///< names of the settings that a flag or a variable gives
    std::map<std::string, std::string> replacements;
    std::map<std::string, std::string> used;
    std::vector<replaced_setting> replaced_settings;
};

} // namespace sailtiller
