// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <runtime/socketaddress.h>

#include <array>
#include <cstring>
#include <memory>
#include <netdb.h>
#include <unistd.h>

namespace sailtiller {

namespace {

constexpr int listen_backlog = 1024;

} // namespace

std::optional<socket_address> find_socket_address(const endpoint& address)
{
    const std::string& text = address.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string number = text.substr(0, colon);
    if (number.size() > 2 && number.front() == '[' && number.back() == ']') {
        number = number.substr(1, number.size() - 2);
    }
    const std::string port = text.substr(colon + 1);
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (port.empty() || getaddrinfo(number.c_str(), port.c_str(), &hints, &found) != 0) {
        return std::nullopt;
    }
    const std::unique_ptr<addrinfo, void (*)(addrinfo*)> owner(found, freeaddrinfo);
    socket_address result;
    std::memcpy(&result.bytes, found->ai_addr, found->ai_addrlen);
    result.length = found->ai_addrlen;
    return result;
}

socket_address to_socket_address(const endpoint& address)
{
    const std::optional<socket_address> found = find_socket_address(address);
    if (!found) {
        throw error({"read address", address.value()}, "must be a number with a port, as 127.0.0.1:8080");
    }
    return *found;
}

endpoint to_endpoint(const socket_address& address)
{
    std::array<char, NI_MAXHOST> number{};
    std::array<char, NI_MAXSERV> port{};
    const int failure = getnameinfo(address.pointer(), address.length, number.data(), number.size(),
        port.data(), port.size(), NI_NUMERICHOST | NI_NUMERICSERV);
    if (failure != 0) {
        return endpoint();
    }
    const std::string text = number.data();
    const bool is_version_6 = text.find(':') != std::string::npos;
    return endpoint((is_version_6 ? "[" + text + "]" : text) + ":" + port.data());
}

listening_socket open_listening_socket(const endpoint& address)
{
    socket_address wanted = to_socket_address(address);
    const int on = 1;
    const int descriptor = socket(wanted.pointer()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0 || setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0
        || bind(descriptor, wanted.pointer(), wanted.length) != 0
        || listen(descriptor, listen_backlog) != 0) {
        const std::string reason = std::strerror(errno);
        if (descriptor >= 0) {
            close(descriptor);
        }
        throw error({"listen", address.value()}, reason);
    }
    socket_address bound;
    bound.length = sizeof(bound.bytes);
    getsockname(descriptor, bound.pointer(), &bound.length);
    return {descriptor, to_endpoint(bound)};
}

} // namespace sailtiller
