// SPDX-License-Identifier: Apache-2.0
#include "silencingproxy.h"

#include <runtime/socketaddress.h>

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

/// Moves what can be moved without waiting; closes the other side after the end of this one.
void forward(int from, int to, std::string& under_way)
{
    char buffer[16384];
    const ssize_t count = recv(from, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count > 0) {
        under_way.append(buffer, static_cast<std::size_t>(count));
    }
    const ssize_t sent = send(to, under_way.data(), under_way.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
        under_way.erase(0, static_cast<std::size_t>(sent));
    }
    if (count == 0 && under_way.empty()) {
        shutdown(to, SHUT_WR);
    }
}

int connect_to(const endpoint& target)
{
    socket_address address = to_socket_address(target);
    const int descriptor = socket(address.bytes.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // The target listens on this machine, so this does not wait.
    EXPECT_EQ(connect(descriptor, address.pointer(), address.length), 0);
    return descriptor;
}

} // namespace

silencing_proxy::silencing_proxy(const endpoint& target)
    : target(target)
{
    const listening_socket bound = open_listening_socket(endpoint("127.0.0.1:0"));
    this->own_address = bound.address;
    this->listener = bound.descriptor;
}

silencing_proxy::~silencing_proxy()
{
    for (const link& item : this->links) {
        close(item.caller);
        close(item.target);
    }
    close(this->listener);
}

void silencing_proxy::take_connections()
{
    int caller = -1;
    while ((caller = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        link item;
        item.caller = caller;
        item.target = connect_to(this->target);
        this->links.push_back(std::move(item));
    }
}

void silencing_proxy::pump()
{
    this->take_connections();
    for (link& item : this->links) {
        if (!item.is_silent) {
            forward(item.caller, item.target, item.to_target);
            forward(item.target, item.caller, item.to_caller);
        }
    }
}

void silencing_proxy::silence()
{
    for (link& item : this->links) {
        item.is_silent = true;
    }
}

} // namespace sailtiller::tests
