// SPDX-License-Identifier: Apache-2.0
#include <base/httpmessage.h>
#include <base/percentencoding.h>

#include <algorithm>
#include <cctype>

namespace sailtiller {

std::optional<std::string> find_header(const http_headers& headers, std::string_view name)
{
    for (const http_header& header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

bool is_field_name(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [marks](char sign) {
        return (sign >= '0' && sign <= '9') || (sign >= 'a' && sign <= 'z') || (sign >= 'A' && sign <= 'Z')
            || marks.find(sign) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text)
{
    constexpr unsigned char delete_sign = 0x7f;
    return std::all_of(text.begin(), text.end(), [](char sign) {
        const auto byte = static_cast<unsigned char>(sign);
        return (byte >= ' ' && byte != delete_sign) || sign == '\t';
    });
}

bool are_fields(const http_headers& headers)
{
    return std::all_of(headers.begin(), headers.end(),
        [](const http_header& header) { return is_field_name(header.name) && is_field_value(header.value); });
}

std::string_view http_request::route() const
{
    return std::string_view(this->path).substr(0, this->path.find('?'));
}

std::optional<std::string> http_request::query_value(std::string_view name) const
{
    std::string_view rest = std::string_view(this->path).substr(this->route().size());
    while (!rest.empty()) {
        rest.remove_prefix(1); // the '?' or '&'
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
        rest.remove_prefix(pair.size());
    }
    return std::nullopt;
}

} // namespace sailtiller
