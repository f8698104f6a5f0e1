// SPDX-License-Identifier: Apache-2.0
#include <base/numericaddress.h>

#include <arpa/inet.h>
#include <charconv>

namespace sailtiller {

namespace {

constexpr int highest_port = 65'535;

} // namespace

std::optional<numeric_address> parse_endpoint(const endpoint& address)
{
    const std::string& text = address.value();
    const std::size_t colon = text.rfind(':');
    // The system reads up to a NUL, and passes over what stands behind it.
    if (colon == std::string::npos || text.find('\0') != std::string::npos) {
        return std::nullopt;
    }
    numeric_address parsed;
    parsed.number = text.substr(0, colon);
    if (parsed.number.size() > 2 && parsed.number.front() == '[' && parsed.number.back() == ']') {
        parsed.number = parsed.number.substr(1, parsed.number.size() - 2);
        parsed.is_version_6 = true;
    }
    int port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data() + colon + 1, end, port);
    if (failure != std::errc() || stop != end || port < 1 || port > highest_port) {
        return std::nullopt;
    }
    parsed.port = static_cast<std::uint16_t>(port);
    in6_addr number{};
    const int family = parsed.is_version_6 ? AF_INET6 : AF_INET;
    if (inet_pton(family, parsed.number.c_str(), &number) != 1) {
        return std::nullopt;
    }
    return parsed;
}

bool names_a_machine(const endpoint& address)
{
    const std::optional<numeric_address> parsed = parse_endpoint(address);
    if (!parsed) {
        return false;
    }
    in6_addr number{};
    in_addr number_4{};
    if (parsed->is_version_6) {
        inet_pton(AF_INET6, parsed->number.c_str(), &number);
        return IN6_IS_ADDR_UNSPECIFIED(&number) == 0;
    }
    inet_pton(AF_INET, parsed->number.c_str(), &number_4);
    return number_4.s_addr != INADDR_ANY;
}

} // namespace sailtiller
