// SPDX-License-Identifier: Apache-2.0
#include <base/httpmessage.h>
#include <base/percentencoding.h>

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
