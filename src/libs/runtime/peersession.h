// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/eventloop.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

struct nghttp2_session;
struct st_h2o_socket_t;

namespace sailtiller {

/// One whole message on a peer stream: a request of the client's side or the reply of the server's.
struct peer_message
{
    std::string method; ///< which question it is; empty in a reply
    std::string body;
    bool is_good = true; ///< false in a reply that says that the question can't be answered
};

/// An HTTP/2 connection between two hosts: an nghttp2 session over a socket of h2o's. Each question and its
/// reply are one stream. Used by peer_client and peer_server only.
class peer_session
{
public:
    enum class side { client, server };

    using message_handler = std::function<void(std::int32_t stream, peer_message message)>;
    /// A stream ended without a whole message, or the connection ended (stream 0).
    using end_handler = std::function<void(std::int32_t stream, const std::string& reason)>;

    /// Takes the socket over. Handlers run from the loop; after `on_end` with stream 0 the session is dead.
    peer_session(event_loop& loop, st_h2o_socket_t* socket, side which, message_handler on_message,
        end_handler on_end);
    ~peer_session();
    peer_session(const peer_session&) = delete;
    peer_session& operator=(const peer_session&) = delete;

    /// Client: sends a question on a new stream and returns its number.
    std::int32_t send_request(const peer_message& message);
    /// Server: answers the question of a stream; a stream that has ended is ignored.
    void send_reply(std::int32_t stream, const peer_message& message);
    /// Client: gives a question up.
    void reset(std::int32_t stream);
    [[nodiscard]] bool is_open() const { return this->socket != nullptr; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent_bytes; }
    [[nodiscard]] std::uint64_t bytes_received() const { return this->received_bytes; }

private:
    struct callbacks;
    struct stream_state
    {
        peer_message incoming;
        bool is_whole = false;
        std::string outgoing;
        std::size_t outgoing_sent = 0;
    };

    void flush();
    /// Gives back what a large message took.
    void release_output();
    void end(const std::string& reason);
    stream_state& state_of(std::int32_t stream) { return this->streams[stream]; }

    event_loop& loop;
    st_h2o_socket_t* socket;
    message_handler on_message;
    end_handler on_end;
    nghttp2_session* session = nullptr;
    std::map<std::int32_t, stream_state> streams;
    std::string sending;
    bool is_sending = false;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t received_before_message = 0; ///< up to the last whole message
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace sailtiller
