// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

namespace sailtiller {

/// Adds a fault for everything in a bundle that is well-formed and yet can't be served: names that stand
/// twice or dangle, layers that leave a gap, key digests and addresses of the wrong form, time limits that
/// contradict.
void check_bundle(const bundle& content, std::vector<json_fault>& faults);

/// Splits "127.0.0.1:80" or "[::1]:80"; empty if the text isn't a numeric address with a port from 1 to
/// 65535.
struct numeric_address
{
    std::string number;
    std::uint16_t port = 0;
    bool is_version_6 = false;
};
std::optional<numeric_address> parse_endpoint(const endpoint& address);

} // namespace sailtiller
