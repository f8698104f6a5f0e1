// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/eventloop.h>
#include <runtime/h2oheaders.h>

#include <cstddef>
#include <list>

namespace sailtiller {

/// Connections that were answered before their request was read to its end. To close them with bytes unread
/// would reset them, and callers would see that in place of the answer; so this side is shut, and what still
/// comes is dropped for a bounded time. Their number is bounded too: beyond it, the oldest one is closed.
class lingering_closes
{
public:
    explicit lingering_closes(event_loop& loop);
    ~lingering_closes();
    lingering_closes(const lingering_closes&) = delete;
    lingering_closes& operator=(const lingering_closes&) = delete;

    /// Takes over the connection of a descriptor, which stays its owner's to close.
    void add(int descriptor);
    /// Closes what has lingered for long enough.
    void tidy();

private:
    struct connection
    {
        lingering_closes* owner = nullptr;
        h2o_socket_t* socket = nullptr;
        time_point began{};
        time_point heard{}; ///< something came
        std::size_t dropped_bytes = 0;
    };

    static void drop(h2o_socket_t* socket, const char* failure);
    void close(connection& item);

    event_loop& loop;
    std::list<connection> connections; ///< the oldest first
};

} // namespace sailtiller
