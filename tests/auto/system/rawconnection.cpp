// SPDX-License-Identifier: Apache-2.0
#include "rawconnection.h"

#include <runtime/socketaddress.h>

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller::tests {

raw_connection::raw_connection(const endpoint& address)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    socket_address target = to_socket_address(address);
    this->connected = connect(this->descriptor, target.pointer(), target.length) == 0;
}

raw_connection::~raw_connection()
{
    close(this->descriptor);
}

void raw_connection::write(std::string_view bytes) const
{
    EXPECT_EQ(
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
}

bool raw_connection::read_to_end()
{
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
        this->received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace sailtiller::tests
