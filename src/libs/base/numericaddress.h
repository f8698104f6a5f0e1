// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <cstdint>
#include <optional>

namespace sailtiller {

/// The two parts of an endpoint in numbers.
struct numeric_address
{
    std::string number;
    std::uint16_t port = 0;
    bool is_version_6 = false;
};

/// Splits "127.0.0.1:80" or "[::1]:80"; empty if the text is anything else, such as a short form, a name or a
/// port of 0 or above 65535.
std::optional<numeric_address> parse_endpoint(const endpoint& address);
/// True if a connection can be made to the address from another machine: the address of no machine in
/// particular, 0.0.0.0 or [::], would be this one.
bool names_a_machine(const endpoint& address);

} // namespace sailtiller
