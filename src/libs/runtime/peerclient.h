// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <runtime/peersession.h>

#include <unordered_map>

namespace sailtiller {

/// How far a question to a peer had got when it failed.
enum class peer_failure_kind {
    not_sent, ///< no connection was made
    no_answer ///< it may have reached the peer
};

struct peer_failure
{
    peer_failure_kind kind = peer_failure_kind::no_answer;
    std::string reason;
};

/// Asks other hosts, over one connection to each that is kept while it is used.
class peer_client
{
public:
    using reply_handler = std::function<void(const std::string& body)>;
    using failure_handler = std::function<void(const peer_failure&)>;

    peer_client(event_loop& loop, duration connect_limit);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Asks a peer; exactly one handler runs, from the loop.
    void ask(const endpoint& peer, const std::string& method, std::string body, duration limit,
        reply_handler on_reply, failure_handler on_failure);

    /// Closes the connections that have carried no question for so long.
    void close_idle(duration idle_limit);
    /// Questions that have been sent and not been answered, over all peers.
    [[nodiscard]] std::size_t questions_open() const;
    /// Bytes over the connections that are open now, HTTP/2 framing included.
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    struct question;
    struct connection;

    connection& connection_to(const endpoint& peer);
    void connect(connection& target);
    static void on_connected(st_h2o_socket_t* socket, const char* failure);
    void send(connection& target, const std::shared_ptr<question>& item);
    /// A question's time has passed: nothing of it is kept, also when the peer never answers.
    void give_up(connection& target, const std::shared_ptr<question>& item);
    void fail_all(connection& target, peer_failure_kind kind, const std::string& reason);
    void drop(connection& target, const std::string& reason);

    event_loop& loop;
    duration connect_limit;
    std::unordered_map<endpoint, std::unique_ptr<connection>> connections;
};

} // namespace sailtiller
