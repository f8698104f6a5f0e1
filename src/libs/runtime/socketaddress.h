// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <optional>
#include <sys/socket.h>

namespace sailtiller {

/// An endpoint in the form that the system's calls take.
struct socket_address
{
    sockaddr_storage bytes{};
    socklen_t length = 0;

    [[nodiscard]] sockaddr* pointer() { return reinterpret_cast<sockaddr*>(&this->bytes); }
    [[nodiscard]] const sockaddr* pointer() const { return reinterpret_cast<const sockaddr*>(&this->bytes); }
};

/// Reads "127.0.0.1:80" or "[::1]:80" of a setting. Throws `error` if it is something else.
socket_address to_socket_address(const endpoint& address);
/// The same of an address to connect to, which others may have told; empty if it is something else.
std::optional<socket_address> find_socket_address(const endpoint& address);
/// The endpoint in numbers; empty for an address that is no internet address.
endpoint to_endpoint(const socket_address& address);

/// A socket that takes connections, not blocking.
struct listening_socket
{
    int descriptor = -1;
    endpoint address; ///< with the port that the system chose, if it was asked to
};

/// Throws `error` if the address can't be listened on.
listening_socket open_listening_socket(const endpoint& address);

} // namespace sailtiller
