// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <base/messagebody.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailtiller {

/// One header line; names are in lower case.
struct http_header
{
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// The value of the first header of that name (in lower case).
std::optional<std::string> find_header(const http_headers& headers, std::string_view name);

/// Names of fields, and words in them, are the same in either case.
std::string lower_case(std::string text);
/// True if the text can be the name of a header field: signs of a token (RFC 9110), at least one.
bool is_field_name(std::string_view text);
/// True if the text can stand in the value of a header field: no control byte but tabs.
bool is_field_value(std::string_view text);
/// True if every name and value can stand in a head, so that no part of one is read as another field.
bool are_fields(const http_headers& headers);

/// A whole request.
struct http_request
{
    std::string method;
    std::string path; ///< with the query, as sent
    http_headers headers;
    message_body body;
    std::string protocol; ///< "HTTP/1.1" or "HTTP/2"
    endpoint peer;
    std::string authority = {}; ///< the virtual host that the caller named

    /// The path without the query.
    [[nodiscard]] std::string_view route() const;
    /// The value of a query parameter, decoded; a "+" stands for itself.
    [[nodiscard]] std::optional<std::string> query_value(std::string_view name) const;
};

/// A whole response.
struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

} // namespace sailtiller
