// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>
#include <runtime/h2oheaders.h>

#include <cstddef>
#include <optional>

namespace sailtiller {

/// A connection with a way back to the server, for the moment when h2o closes it.
struct connection_entry
{
    void* server = nullptr;
    h2o_socket_t* socket = nullptr;
    endpoint peer;
    bool has_request = false;
    std::size_t open_requests = 0; ///< handed to the handler and not at their end
    time_point rests_since{}; ///< its last request ended, or it was opened
    std::optional<time_point> headers_since; ///< bytes of a request's headers wait for the rest of them
    bool is_closing = false; ///< this side has closed it
};

/// The entry of a request's connection, which has now brought a request, so that its end is no event.
connection_entry& note_request(h2o_req_t* request);

/// True if the caller has sent something that is not read or not answered yet.
bool has_bytes(h2o_socket_t& socket);

/// Notes since when the headers of a request have begun and not ended.
void note_open_headers(const h2o_socket_t& socket, connection_entry& entry, time_point now);

/// A request that crosses this close is refused as not run.
void close_connection(h2o_socket_t& socket, connection_entry& entry);

/// The caller's address.
endpoint peer_of(h2o_socket_t* socket);

} // namespace sailtiller
