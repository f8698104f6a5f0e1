// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>

namespace sailtiller {

/// Encodes any bytes as one value of a query or one segment of a path (RFC 3986): all but letters, digits and
/// "-._~" are written as "%" and two digits.
std::string percent_encode(std::string_view bytes);
/// Reverses `percent_encode`; a "%" without two hexadecimal digits stands for itself.
std::string percent_decode(std::string_view text);

} // namespace sailtiller
