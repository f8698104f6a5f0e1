// SPDX-License-Identifier: Apache-2.0
#include <base/httpmessage.h>
#include <base/httpstatus.h>
#include <runtime/answerheadcheck.h>

#include <algorithm>

namespace sailtiller {

namespace {

constexpr std::string_view protocol = "HTTP/1.";
/// "HTTP/1.1 200".
constexpr std::size_t status_begin = 9;
constexpr std::size_t status_end = 12;
constexpr std::string_view blanks = " \t";

bool is_digit(char sign)
{
    return sign >= '0' && sign <= '9';
}

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

} // namespace

std::optional<std::string> answer_head_check::take(std::string_view bytes)
{
    while (!this->is_done && !bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        this->line += bytes.substr(0, end);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        bytes.remove_prefix(end + 1);
        if (this->line.ends_with('\r')) {
            this->line.pop_back();
        }
        if (auto fault = this->take_line()) {
            return fault;
        }
        this->line.clear();
    }
    return std::nullopt;
}

std::optional<std::string> answer_head_check::take_line()
{
    if (!this->is_in_head) {
        return this->take_status_line();
    }
    if (this->line.empty()) {
        return this->end_head();
    }
    return this->take_field();
}

std::optional<std::string> answer_head_check::take_status_line()
{
    const std::string_view text = this->line;
    if (text.empty()) {
        return std::nullopt; // some servers end a body with a line's end too many; the size of a head bounds
                             // them
    }
    const bool has_form = text.size() >= status_end && text.starts_with(protocol)
        && is_digit(text[protocol.size()]) && text[status_begin - 1] == ' '
        && std::all_of(text.begin() + status_begin, text.begin() + status_end, &is_digit)
        && (text.size() == status_end || text[status_end] == ' ') && is_field_value(text);
    if (!has_form) {
        return "its first line is no status line";
    }
    this->minor_version = static_cast<unsigned>(text[protocol.size()] - '0');
    this->status = 0;
    for (const char digit : text.substr(status_begin, status_end - status_begin)) {
        this->status = this->status * 10 + (digit - '0');
    }
    if (this->status < http_status::first || this->status > http_status::last) {
        return "its status is none";
    }
    this->is_in_head = true;
    return std::nullopt;
}

std::optional<std::string> answer_head_check::take_field()
{
    const std::string_view text = this->line;
    const std::size_t colon = text.find(':');
    // A folded line begins with a blank, which no name does.
    if (colon == std::string_view::npos || !is_field_name(text.substr(0, colon))) {
        return "a line of its head has no name of a field";
    }
    const std::string_view value = trim(text.substr(colon + 1));
    if (!is_field_value(value)) {
        return "a field of its head holds a control byte";
    }
    const std::string name = lower_case(this->line.substr(0, colon));
    if (name == "content-length") {
        return this->take_length(value);
    }
    return name == "transfer-encoding" ? this->take_coding(value) : std::nullopt;
}

std::optional<std::string> answer_head_check::take_length(std::string_view value)
{
    if (this->has_length || value.empty() || !std::all_of(value.begin(), value.end(), &is_digit)) {
        return "its length is none, or stands twice";
    }
    this->has_length = true;
    return std::nullopt;
}

std::optional<std::string> answer_head_check::take_coding(std::string_view value)
{
    // No other coding was asked for, and a body in one would be passed on without its name.
    if (this->has_coding || this->minor_version == 0 || lower_case(std::string(value)) != "chunked") {
        return "its transfer coding is another than chunked";
    }
    this->has_coding = true;
    return std::nullopt;
}

std::optional<std::string> answer_head_check::end_head()
{
    if (this->has_length && this->has_coding) {
        return "it has a length and a transfer coding";
    }
    this->is_done = this->status >= http_status::first_final;
    this->is_in_head = false;
    this->has_length = false;
    this->has_coding = false;
    return std::nullopt;
}

} // namespace sailtiller
