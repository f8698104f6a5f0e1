// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/numericaddress.h>

#include <arpa/inet.h>
#include <charconv>

namespace sailtiller {

namespace {

constexpr int highest_port = 65'535;

bool is_port(std::string_view text)
{
    int port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, port);
    return failure == std::errc() && stop == end && port >= 1 && port <= highest_port;
}

bool is_machine_of_version_4(const std::string& number)
{
    in_addr address{};
    return inet_pton(AF_INET, number.c_str(), &address) == 1 && address.s_addr != INADDR_ANY;
}

bool is_machine_of_version_6(const std::string& number)
{
    in6_addr address{};
    return inet_pton(AF_INET6, number.c_str(), &address) == 1 && IN6_IS_ADDR_UNSPECIFIED(&address) == 0;
}

} // namespace

bool names_a_machine(const endpoint& address)
{
    const std::string& text = address.value();
    const std::size_t colon = text.rfind(':');
    // The system reads up to a NUL, and passes over what stands behind it.
    if (colon == std::string::npos || text.find('\0') != std::string::npos
        || !is_port(std::string_view(text).substr(colon + 1))) {
        return false;
    }
    const std::string number = text.substr(0, colon);
    return number.starts_with('[') && number.ends_with(']')
        ? is_machine_of_version_6(number.substr(1, number.size() - 2))
        : is_machine_of_version_4(number);
}

endpoint read_endpoint(std::string text)
{
    endpoint address(std::move(text));
    if (!names_a_machine(address)) {
        throw error({"read address", ""}, "the address is none in numbers with a port");
    }
    return address;
}

} // namespace sailtiller
