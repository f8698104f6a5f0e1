// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <runtime/eventloop.h>

#include <memory>
#include <unordered_map>
#include <vector>

struct st_h2o_socket_t;

namespace sailtiller {

/// How long and how many connections are kept.
struct connection_pool_settings
{
    duration idle_time = std::chrono::seconds(30); ///< a kept connection is closed after this
    std::size_t most_kept = 32; ///< to one endpoint
};

/// Connections that carry no request now, by endpoint. One on which the peer closes, or says anything, is
/// dropped: bytes that nobody asked for belong to no request.
class connection_pool
{
public:
    connection_pool(event_loop& loop, connection_pool_settings settings);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Takes the connection that was used last; null if there is none.
    st_h2o_socket_t* take(const endpoint& target);
    /// Keeps a connection on which everything that was asked has been answered.
    void give(const endpoint& target, st_h2o_socket_t* socket);
    /// Returns true if a connection to the target is kept.
    [[nodiscard]] bool has(const endpoint& target) const;
    /// Closes the connections to a target that have carried nothing since `before`.
    void drop_idle(const endpoint& target, time_point before);
    [[nodiscard]] std::size_t kept_count() const { return this->kept.size(); }

private:
    struct entry
    {
        connection_pool* owner = nullptr;
        endpoint target;
        st_h2o_socket_t* socket = nullptr;
        timer_id timer = 0;
        time_point last_used{};
    };

    static void drop(st_h2o_socket_t* socket, const char* failure);
    std::unique_ptr<entry> remove(st_h2o_socket_t* socket);
    void close(st_h2o_socket_t* socket);

    event_loop& loop;
    connection_pool_settings settings;
    std::unordered_map<st_h2o_socket_t*, std::unique_ptr<entry>> kept;
    std::unordered_map<endpoint, std::vector<st_h2o_socket_t*>> by_target;
};

} // namespace sailtiller
