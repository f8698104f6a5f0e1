// SPDX-License-Identifier: Apache-2.0
#include <runtime/h2oheaders.h>
#include <runtime/peerserver.h>
#include <runtime/socketaddress.h>

namespace sailtiller {

peer_server::peer_server(event_loop& loop, question_handler handler)
    : loop(loop)
    , handler(std::move(handler))
{
}

peer_server::~peer_server()
{
    if (this->listener != nullptr) {
        h2o_socket_read_stop(this->listener);
        h2o_socket_close(this->listener);
    }
}

endpoint peer_server::listen(const endpoint& address)
{
    const listening_socket bound = open_listening_socket(address);
    this->listener =
        h2o_evloop_socket_create(this->loop.native(), bound.descriptor, H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, &peer_server::accept);
    return bound.address;
}

void peer_server::accept(h2o_socket_t* listener, const char* failure)
{
    if (failure != nullptr) {
        return;
    }
    auto* server = static_cast<peer_server*>(listener->data);
    while (h2o_socket_t* socket = h2o_evloop_socket_accept(listener)) {
        server->add_session(socket);
    }
}

void peer_server::add_session(h2o_socket_t* socket)
{
    const std::uint64_t id = ++this->last_session;
    const auto on_message = [this, id](std::int32_t stream, const peer_message& question) {
        const std::optional<std::string> reply = this->handler(question.method, question.body);
        this->sessions.at(id)->send_reply(stream, {"", reply.value_or(""), reply.has_value()});
    };
    const auto on_end = [this, id](std::int32_t stream, const std::string&) {
        if (stream == 0) {
            this->sessions.erase(id);
        }
    };
    this->sessions.emplace(id,
        std::make_unique<peer_session>(this->loop, socket, peer_session::side::server, on_message, on_end));
}

} // namespace sailtiller
