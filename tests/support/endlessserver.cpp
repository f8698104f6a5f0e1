// SPDX-License-Identifier: Apache-2.0
#include <support/endlessserver.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

constexpr std::size_t block_bytes = std::size_t{64} << 10U;

} // namespace

endless_server::endless_server(std::string beginning, std::string filler, duration pause)
    : beginning(std::move(beginning))
    , filler(std::move(filler))
    , pause(pause)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int send_buffer = block_bytes; // taken over by the connections
    setsockopt(this->listener, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer));
    auto* general = reinterpret_cast<sockaddr*>(&address);
    if (bind(this->listener, general, size) != 0 || listen(this->listener, SOMAXCONN) != 0
        || getsockname(this->listener, general, &size) != 0) {
        throw std::runtime_error("no listening socket");
    }
    this->own_address = endpoint("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
}

endless_server::~endless_server()
{
    close(this->listener);
    for (const link& item : this->links) {
        if (item.descriptor >= 0) {
            close(item.descriptor);
        }
    }
}

std::size_t endless_server::open_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->links.begin(), this->links.end(), [](const link& item) { return item.descriptor >= 0; }));
}

void endless_server::pump()
{
    for (;;) {
        const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            break;
        }
        this->links.emplace_back().descriptor = descriptor;
    }
    for (link& item : this->links) {
        if (item.descriptor >= 0) {
            this->serve(item);
        }
    }
}

void endless_server::serve(link& item)
{
    char buffer[4096];
    const ssize_t count = recv(item.descriptor, buffer, sizeof(buffer), 0);
    bool is_closed = count == 0 || (count < 0 && errno != EAGAIN);
    if (count > 0 && !item.has_begun) {
        item.request.append(buffer, static_cast<std::size_t>(count));
        if (item.request.find("\r\n\r\n") != std::string::npos) {
            item.has_begun = true;
            item.outgoing = this->beginning;
            item.next_byte = std::chrono::steady_clock::now() + this->pause;
        }
    }
    while (item.has_begun && !is_closed) {
        this->fill(item);
        if (item.outgoing.empty()) {
            break;
        }
        const ssize_t taken = send(item.descriptor, item.outgoing.data(), item.outgoing.size(), MSG_NOSIGNAL);
        is_closed = taken < 0 && errno != EAGAIN;
        if (taken < 0) {
            break;
        }
        this->sent += static_cast<std::size_t>(taken);
        item.outgoing.erase(0, static_cast<std::size_t>(taken));
    }
    if (is_closed) {
        close(item.descriptor);
        item.descriptor = -1;
    }
}

void endless_server::fill(link& item) const
{
    if (this->filler.empty()) {
        return;
    }
    if (this->pause == duration::zero()) {
        while (item.outgoing.size() < block_bytes) {
            item.outgoing += this->filler;
        }
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= item.next_byte) {
        item.outgoing += this->filler[item.position];
        item.position = (item.position + 1) % this->filler.size();
        item.next_byte = now + this->pause;
    }
}

} // namespace sailtiller::tests
