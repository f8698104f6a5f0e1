// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <runtime/peersession.h>

#include <optional>

namespace sailtiller {

/// Answers other hosts' questions.
class peer_server
{
public:
    /// Gives the reply's body at once, or nothing if the question can't be answered here.
    using question_handler =
        std::function<std::optional<std::string>(const std::string& method, const std::string& body)>;

    peer_server(event_loop& loop, question_handler handler);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Throws `error` if the address can't be listened on. Returns it with the port that was bound.
    endpoint listen(const endpoint& address);

private:
    static void accept(st_h2o_socket_t* listener, const char* failure);
    void add_session(st_h2o_socket_t* socket);

    event_loop& loop;
    question_handler handler;
    st_h2o_socket_t* listener = nullptr;
    std::map<std::uint64_t, std::unique_ptr<peer_session>> sessions;
    std::uint64_t last_session = 0;
};

} // namespace sailtiller
