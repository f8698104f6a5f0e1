// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>
#include <runtime/h2oheaders.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

namespace sailtiller {

/// Connections by when they came to rest, the first one first.
using resting_connections = std::list<h2o_socket_t*>;

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
    /// Its place among those at rest; none while it has open requests.
    std::optional<resting_connections::iterator> resting;

    // What it holds of the host's memory; see connection_memory.
    bool is_http2 = false;
    std::size_t open_streams = 0; ///< over HTTP/2: requests that aren't whole, when last counted
    std::uint64_t whole_until = 0; ///< over HTTP/2: bytes received of requests that are whole
    std::size_t discarded_bytes = 0; ///< of the input, by the request that is being answered
    std::size_t counted_bytes = 0; ///< of requests that aren't whole, in the budget
    std::optional<time_point> counted_since;
    std::size_t unread_answer_bytes = 0; ///< of answers that wait for their caller; they count by themselves
    std::uint64_t taken_before = 0; ///< bytes that the caller had taken at `unread_since`
    time_point unread_since{}; ///< the caller has taken nothing of what waits since
};

/// The entry of a request's connection, which has now brought a request, so that its end is no event.
connection_entry& note_request(h2o_req_t* request);

/// True if the caller has sent something that is not read or not answered yet.
bool has_bytes(h2o_socket_t& socket);

/// Notes since when the headers of a request have begun and not ended.
void note_open_headers(const h2o_socket_t& socket, connection_entry& entry, time_point now);

/// A request that crosses this close is refused as not run.
void close_connection(h2o_socket_t& socket, connection_entry& entry);

/// Ends a connection at once, as if its caller had gone; its descriptor and memory are free after this. Not
/// within a callback of the same connection, and only while it is being read.
void end_connection(h2o_socket_t& socket, const connection_entry& entry);

/// True if the headers of a request have begun and not ended; its body waits behind them in the same buffer.
bool has_open_headers(const h2o_socket_t& socket);

/// The caller's address.
endpoint peer_of(h2o_socket_t* socket);

} // namespace sailtiller
