// SPDX-License-Identifier: Apache-2.0
#include <runtime/connectionentry.h>
#include <runtime/socketaddress.h>

#include <string_view>
#include <sys/socket.h>

namespace sailtiller {

bool has_open_headers(const h2o_socket_t& socket)
{
    const std::string_view bytes(socket.input->bytes, socket.input->size);
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', end + 1)) {
        const std::string_view next = bytes.substr(end + 1);
        if (next.starts_with("\r\n") || next.starts_with('\n')) {
            return false;
        }
    }
    return !bytes.empty();
}

connection_entry& note_request(h2o_req_t* request)
{
    h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
    auto& entry = *static_cast<connection_entry*>(socket->on_close.data);
    entry.has_request = true;
    entry.is_http2 = request->version >= first_http2_version;
    return entry;
}

bool has_bytes(h2o_socket_t& socket)
{
    char byte = 0;
    return socket.input->size > 0 || recv(h2o_socket_get_fd(&socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void note_open_headers(const h2o_socket_t& socket, connection_entry& entry, time_point now)
{
    if (entry.open_requests > 0 || !has_open_headers(socket)) {
        entry.headers_since.reset();
    } else if (!entry.headers_since) {
        entry.headers_since = now;
    }
}

void close_connection(h2o_socket_t& socket, connection_entry& entry)
{
    entry.is_closing = true;
    shutdown(h2o_socket_get_fd(&socket), SHUT_RDWR);
}

void end_connection(h2o_socket_t& socket, const connection_entry& entry)
{
    if (entry.is_http2) {
        // What is being written would keep the connection until its caller takes it.
        shutdown(h2o_socket_get_fd(&socket), SHUT_RDWR);
    }
    const h2o_socket_cb on_read = socket._cb.read;
    on_read(&socket, h2o_socket_error_closed);
}

endpoint peer_of(h2o_socket_t* socket)
{
    socket_address peer;
    peer.length = h2o_socket_getpeername(socket, peer.pointer());
    return to_endpoint(peer);
}

} // namespace sailtiller
