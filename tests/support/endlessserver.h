// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <string>
#include <vector>

namespace sailtiller::tests {

/// A server that answers each connection's first request with given bytes and then sends without end, until
/// the caller closes the connection.
class endless_server
{
public:
    /// Sends `beginning` once and then `filler` again and again; nothing more if `filler` is empty. The
    /// filler is sent one byte per `pause` if there is one, else as fast as the connection takes it.
    endless_server(std::string beginning, std::string filler, duration pause = duration::zero());
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] const endpoint& address() const { return this->own_address; }
    /// Takes connections and sends what they take now; never waits.
    void pump();
    [[nodiscard]] std::size_t connection_count() const { return this->links.size(); }
    /// Connections that their callers have not closed.
    [[nodiscard]] std::size_t open_count() const;
    /// Bytes that the connections have taken, which may wait in the system's buffers.
    [[nodiscard]] std::size_t sent_bytes() const { return this->sent; }

private:
    struct link
    {
        int descriptor = -1;
        std::string request;
        std::string outgoing;
        std::chrono::steady_clock::time_point next_byte{};
        std::size_t position = 0; ///< in the filler
        bool has_begun = false;
    };

    void serve(link& item);
    /// Adds what is to be sent now.
    void fill(link& item) const;

    std::string beginning;
    std::string filler;
    duration pause;
    endpoint own_address;
    int listener = -1;
    std::vector<link> links;
    std::size_t sent = 0;
};

/// Room for bytes that one connection has taken and its caller has not, for bounds on `sent_bytes`.
constexpr std::size_t system_buffer_bytes = std::size_t{4} << 20U;

} // namespace sailtiller::tests
