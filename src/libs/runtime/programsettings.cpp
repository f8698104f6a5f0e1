// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <runtime/programsettings.h>
#include <runtime/socketaddress.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>

namespace sailtiller {

namespace {

namespace po = boost::program_options;

constexpr std::string_view variable_prefix = "SAILTILLER_";
constexpr const char* file_flag = "config";
constexpr const char* program_version = "0.1.0";

/// SAILTILLER_HOST_ID belongs to the flag host-id.
std::string flag_of_variable(const std::string& variable)
{
    if (!variable.starts_with(variable_prefix)) {
        return "";
    }
    std::string flag = variable.substr(variable_prefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(),
        [](unsigned char letter) { return static_cast<char>(letter == '_' ? '-' : std::tolower(letter)); });
    return flag;
}

std::string variable_of_flag(const std::string& flag)
{
    std::string variable(variable_prefix);
    for (const char letter : flag) {
        variable += static_cast<char>(letter == '-' ? '_' : std::toupper(static_cast<unsigned char>(letter)));
    }
    return variable;
}

std::vector<std::string> split_at_commas(const std::vector<std::string>& items)
{
    std::vector<std::string> parts;
    for (const std::string& item : items) {
        std::size_t begin = 0;
        while (begin <= item.size()) {
            const std::size_t end = std::min(item.find(',', begin), item.size());
            if (end > begin) {
                parts.push_back(item.substr(begin, end - begin));
            }
            begin = end + 1;
        }
    }
    return parts;
}

std::string write_number(double number)
{
    std::array<char, 32> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), result.ptr};
}

std::optional<double> read_number(std::string_view text)
{
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    const bool is_number = failure == std::errc() && stop == end && std::isfinite(number);
    return is_number ? std::optional(number) : std::nullopt;
}

std::optional<double> read_whole_number(std::string_view text)
{
    const std::optional<double> number = read_number(text);
    return number && *number == std::floor(*number) ? number : std::nullopt;
}

std::optional<double> read_milliseconds(std::string_view text)
{
    constexpr double milliseconds_per_second = 1000;
    if (!text.ends_with('s')) {
        return read_number(text);
    }
    text.remove_suffix(1);
    const std::optional<double> seconds = read_number(text);
    return seconds ? std::optional(*seconds * milliseconds_per_second) : std::nullopt;
}

} // namespace

program_settings::program_settings(std::string program, std::string summary)
    : program(std::move(program))
    , summary(std::move(summary))
    , options("Settings")
{
    this->options.add_options()("help", "show this text and exit")("version", "show the version and exit");
    const std::string help =
        "file with settings, a name=value on each line [" + variable_of_flag(file_flag) + "]";
    this->options.add_options()(file_flag, po::value<std::string>(), help.c_str());
}

void program_settings::declare(
    const std::string& name, const std::string& help, const std::optional<std::string>& fallback)
{
    const std::string text = help + " [" + variable_of_flag(name) + "]";
    if (fallback) {
        this->fallbacks[name] = *fallback;
        this->options.add_options()(
            name.c_str(), po::value<std::string>()->default_value(*fallback), text.c_str());
        return;
    }
    this->required.push_back(name);
    this->options.add_options()(name.c_str(), po::value<std::string>(), text.c_str());
}

void program_settings::declare_optional(const std::string& name, const std::string& help)
{
    const std::string text = help + " [" + variable_of_flag(name) + "]";
    this->options.add_options()(name.c_str(), po::value<std::string>(), text.c_str());
}

void program_settings::declare_list(const std::string& name, const std::string& help)
{
    const std::string text = help + "; may be given several times [" + variable_of_flag(name) + "]";
    this->options.add_options()(
        name.c_str(), po::value<std::vector<std::string>>()->composing(), text.c_str());
}

std::string program_settings::help_text() const
{
    std::ostringstream text;
    text << this->summary << "\n\n"
         << this->options << "\nExit codes: 0 done, 1 the work failed, 2 wrong settings or command.\n";
    return text.str();
}

void program_settings::parse(const std::vector<std::string>& arguments)
{
    try {
        const po::parsed_options parsed =
            po::command_line_parser(arguments).options(this->options).allow_unregistered().run();
        for (const po::option& item : parsed.options) {
            if (item.unregistered && item.position_key < 0) {
                throw settings_stop{
                    "unknown flag " + item.original_tokens.front() + "; --help lists the flags\n",
                    exit_bad_usage};
            }
        }
        po::store(parsed, this->values);
        this->positional = po::collect_unrecognized(parsed.options, po::include_positional);
        const auto name_of = [this](const std::string& variable) {
            const std::string flag = flag_of_variable(variable);
            const bool is_known = !flag.empty() && this->options.find_nothrow(flag, false) != nullptr;
            return is_known ? flag : std::string();
        };
        po::store(po::parse_environment(this->options, name_of), this->values);
        for (const auto& [name, value] : this->values) {
            if (!value.defaulted()) {
                this->given_directly.insert(name);
            }
        }
        this->read_file();
    } catch (const po::error& wrong) {
        throw settings_stop{std::string(wrong.what()) + "; --help lists the flags\n", exit_bad_usage};
    }
    if (this->values.count("help") != 0) {
        throw settings_stop{this->help_text(), exit_ok};
    }
    if (this->values.count("version") != 0) {
        throw settings_stop{this->program + " " + program_version + "\n", exit_ok};
    }
    for (const std::string& name : this->required) {
        if (this->values.count(name) == 0) {
            this->faults.push_back(
                "--" + name + " (" + variable_of_flag(name) + ") is missing; it must be set");
        }
    }
}

void program_settings::read_file()
{
    if (this->values.count(file_flag) == 0) {
        return;
    }
    const auto path = this->values[file_flag].as<std::string>();
    std::ifstream file(path);
    if (!file) {
        throw settings_stop{"--" + std::string(file_flag) + " (" + variable_of_flag(file_flag) + ") is '"
                + path + "'; it can't be read; name a readable file\n",
            exit_bad_usage};
    }
    // What stands already, from flags and variables, is kept.
    po::store(po::parse_config_file(file, this->options), this->values);
}

void program_settings::add_fault(
    const std::string& name, const std::string& value, const std::string& accepted)
{
    this->faults.push_back(
        "--" + name + " (" + variable_of_flag(name) + ") is '" + value + "'; accepted: " + accepted);
}

void program_settings::require_sound() const
{
    if (this->faults.empty()) {
        return;
    }
    std::string text = this->program + ": wrong settings\n";
    for (const std::string& fault : this->faults) {
        text += "  " + fault + "\n";
    }
    throw settings_stop{text, exit_bad_usage};
}

std::string program_settings::text(const std::string& name)
{
    return this->optional_text(name).value_or("");
}

std::optional<std::string> program_settings::optional_text(const std::string& name)
{
    if (this->values.count(name) == 0) {
        return std::nullopt;
    }
    auto value = this->values[name].as<std::string>();
    if (value.empty()) {
        this->add_fault(name, value, "a text that is not empty");
    }
    return value;
}

std::vector<std::string> program_settings::texts(const std::string& name)
{
    if (this->values.count(name) == 0) {
        return {};
    }
    return split_at_commas(this->values[name].as<std::vector<std::string>>());
}

double program_settings::bounded_number(
    const std::string& name, double least, double most, number_reader read, const std::string& accepted)
{
    if (this->values.count(name) == 0) {
        return least;
    }
    const auto text = this->values[name].as<std::string>();
    const std::optional<double> number = read(text);
    if (number && *number >= least && *number <= most) {
        this->used[name] = text;
        return *number;
    }
    if (this->given_directly.contains(name)) {
        this->add_fault(name, text, accepted);
        return least;
    }
    const std::string replacement = this->replacement_of(name, number, least, most);
    this->used[name] = replacement;
    this->replaced_settings.push_back(
        {name, "'" + text + "' can't be used; accepted: " + accepted + "; used instead: " + replacement});
    return std::clamp(read(replacement).value_or(least), least, most);
}

std::string program_settings::replacement_of(
    const std::string& name, std::optional<double> unusable, double least, double most) const
{
    const auto given = this->replacements.find(name);
    if (given != this->replacements.end()) {
        return given->second;
    }
    if (unusable) {
        return write_number(std::clamp(*unusable, least, most));
    }
    const auto fallback = this->fallbacks.find(name);
    return fallback == this->fallbacks.end() ? write_number(least) : fallback->second;
}

std::int64_t program_settings::integer(const std::string& name, std::int64_t least, std::int64_t most)
{
    return static_cast<std::int64_t>(
        this->bounded_number(name, static_cast<double>(least), static_cast<double>(most), &read_whole_number,
            "a whole number from " + std::to_string(least) + " to " + std::to_string(most)));
}

double program_settings::number(const std::string& name, double least, double most)
{
    return this->bounded_number(name, least, most, &read_number,
        "a number from " + write_number(least) + " to " + write_number(most));
}

duration program_settings::milliseconds(const std::string& name, std::int64_t least, std::int64_t most)
{
    const double milliseconds =
        this->bounded_number(name, static_cast<double>(least), static_cast<double>(most), &read_milliseconds,
            "a number of milliseconds from " + std::to_string(least) + " to " + std::to_string(most)
                + ", or of seconds as in 7.5s");
    return std::chrono::round<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

endpoint program_settings::check_address(const std::string& name, const std::string& value)
{
    try {
        to_socket_address(endpoint(value));
    } catch (const error&) {
        this->add_fault(name, value, "a number with a port, as 127.0.0.1:8080 or [::1]:8080");
    }
    return endpoint(value);
}

endpoint program_settings::address(const std::string& name)
{
    const std::optional<std::string> value = this->optional_text(name);
    return value ? this->check_address(name, *value) : endpoint();
}

std::optional<endpoint> program_settings::optional_address(const std::string& name)
{
    const std::optional<std::string> value = this->optional_text(name);
    return value ? std::optional<endpoint>(this->check_address(name, *value)) : std::nullopt;
}

std::string program_settings::choice(const std::string& name, const std::vector<std::string>& accepted)
{
    std::string value = this->text(name);
    if (std::find(accepted.begin(), accepted.end(), value) == accepted.end()) {
        std::string list;
        for (const std::string& word : accepted) {
            list += (list.empty() ? "" : ", ") + word;
        }
        this->add_fault(name, value, list);
    }
    return value;
}

} // namespace sailtiller
