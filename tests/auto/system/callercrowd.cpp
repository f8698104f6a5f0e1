// SPDX-License-Identifier: Apache-2.0
#include "callercrowd.h"

#include <runtime/socketaddress.h>

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

/// Bytes that one caller sends before the next one has its turn.
constexpr std::size_t turn_bytes = std::size_t{256} << 10U;

std::string with_number(std::string text, std::size_t number)
{
    const std::string mark = "{n}";
    const std::size_t place = text.find(mark);
    return place == std::string::npos ? text : text.replace(place, mark.size(), std::to_string(number));
}

} // namespace

caller_crowd::caller_crowd(const endpoint& target, std::size_t count, const caller_script& script)
    : script(script)
    , received(count)
{
    socket_address address = to_socket_address(target);
    for (std::size_t number = 0; number < count; ++number) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        EXPECT_GE(descriptor, 0);
        const int result = connect(descriptor, address.pointer(), address.length);
        EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
        this->members.push_back({descriptor, with_number(script.head, number), 0, false});
    }
}

caller_crowd::~caller_crowd()
{
    for (const member& item : this->members) {
        if (item.descriptor >= 0) {
            close(item.descriptor);
        }
    }
}

bool caller_crowd::exchange_bytes()
{
    bool has_moved = false;
    for (std::size_t number = 0; number < this->members.size(); ++number) {
        has_moved = this->send_some(this->members[number]) || has_moved;
        has_moved = (this->is_reading && this->read_some(number)) || has_moved;
    }
    return has_moved;
}

bool caller_crowd::send_some(member& item)
{
    const std::size_t whole = item.head.size() + this->script.unit_bytes + this->script.tail.size();
    std::size_t moved = 0;
    while (moved < turn_bytes && item.sent < whole) {
        std::string_view part;
        if (item.sent < item.head.size()) {
            part = std::string_view(item.head).substr(item.sent);
        } else if (item.sent < item.head.size() + this->script.unit_bytes) {
            const std::size_t offset = item.sent - item.head.size();
            part = std::string_view(this->script.unit).substr(offset % this->script.unit.size());
            part = part.substr(0, this->script.unit_bytes - offset);
        } else {
            part = std::string_view(this->script.tail)
                       .substr(item.sent - item.head.size() - this->script.unit_bytes);
        }
        const ssize_t count = send(item.descriptor, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0) {
            if (errno == EPIPE || errno == ECONNRESET) {
                item.sent = whole; // the other side takes no more
                item.was_reset = true;
            }
            break;
        }
        item.sent += static_cast<std::size_t>(count);
        moved += static_cast<std::size_t>(count);
    }
    return moved > 0;
}

bool caller_crowd::read_some(std::size_t number)
{
    std::array<char, 4096> buffer{};
    const ssize_t count = recv(this->members[number].descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0) {
        this->members[number].was_reset |= count < 0 && errno == ECONNRESET;
        return false;
    }
    this->received[number].append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

int caller_crowd::status_of(std::size_t number) const
{
    const std::string mark = "HTTP/1.1 ";
    const std::string& text = this->received[number];
    return text.compare(0, mark.size(), mark) == 0 ? std::atoi(text.c_str() + mark.size()) : 0;
}

} // namespace sailtiller::tests
