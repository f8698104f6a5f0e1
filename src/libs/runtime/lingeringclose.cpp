// SPDX-License-Identifier: Apache-2.0
#include <runtime/lingeringclose.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller {

namespace {

constexpr std::size_t most_connections = 256;
/// A caller that has the answer closes soon; one that sends on is given time for a large body.
constexpr duration longest_silence = std::chrono::seconds(2);
constexpr duration longest_time = std::chrono::seconds(10);
constexpr std::size_t most_dropped_bytes = std::size_t{64} << 20U;

} // namespace

lingering_closes::lingering_closes(event_loop& loop)
    : loop(loop)
{
}

lingering_closes::~lingering_closes()
{
    while (!this->connections.empty()) {
        this->close(this->connections.front());
    }
}

void lingering_closes::add(int descriptor)
{
    const int own = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    if (own < 0) {
        return; // no descriptor is left; the connection is reset by its owner's close
    }
    shutdown(own, SHUT_WR);
    if (this->connections.size() >= most_connections) {
        this->close(this->connections.front());
    }
    connection& item = this->connections.emplace_back();
    item.owner = this;
    item.socket = h2o_evloop_socket_create(this->loop.native(), own, 0);
    item.socket->data = &item;
    item.began = this->loop.now();
    item.heard = item.began;
    h2o_socket_read_start(item.socket, &lingering_closes::drop);
}

void lingering_closes::drop(h2o_socket_t* socket, const char* failure)
{
    auto& item = *static_cast<connection*>(socket->data);
    item.dropped_bytes += socket->input->size;
    h2o_buffer_consume(&socket->input, socket->input->size);
    if (failure != nullptr || item.dropped_bytes > most_dropped_bytes) {
        item.owner->close(item);
        return;
    }
    item.heard = item.owner->loop.now();
}

void lingering_closes::tidy()
{
    const time_point now = this->loop.now();
    for (auto next = this->connections.begin(); next != this->connections.end();) {
        connection& item = *next++;
        if (now - item.heard > longest_silence || now - item.began > longest_time) {
            this->close(item);
        }
    }
}

void lingering_closes::close(connection& item)
{
    h2o_socket_close(item.socket);
    this->connections.remove_if([&item](const connection& other) { return &other == &item; });
}

} // namespace sailtiller
