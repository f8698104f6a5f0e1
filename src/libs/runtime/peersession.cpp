// SPDX-License-Identifier: Apache-2.0
#include <runtime/h2oheaders.h>
#include <runtime/peersession.h>

#include <algorithm>
#include <nghttp2/nghttp2.h>
#include <string_view>

namespace sailtiller {

namespace {

constexpr std::string_view path_prefix = "/peer/";
constexpr std::string_view status_ok = "200";
constexpr std::string_view status_failed = "503";
/// Flow-control window of a stream and of a connection: a whole bundle of the largest expected size fits.
constexpr std::int32_t window_bytes = 8 << 20;
constexpr std::size_t most_message_bytes = 64U << 20U;
/// Bytes over a connection without a whole message; frames that belong to none have no bound of their own.
constexpr std::uint64_t most_bytes_without_message = most_message_bytes;
/// What a session keeps of the buffer of a message that it sent: more than a usual report, far less than a
/// list of all upstreams. A host has two sessions with each other one, and each kept the size of its largest
/// message.
constexpr std::size_t most_kept_bytes = 8192;

/// Gives the input buffer back once it has been read; the library keeps some for the next sockets.
void release_input(h2o_socket_t* socket)
{
    if (socket->input->size == 0) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
}

nghttp2_nv make_field(std::string_view name, std::string_view value)
{
    // nghttp2 copies both; its structure has no const.
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
        NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// nghttp2's callbacks; each gets the session as its user data.
struct peer_session::callbacks
{
    static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* data)
    {
        const std::string_view field(reinterpret_cast<const char*>(name), name_size);
        const std::string_view text(reinterpret_cast<const char*>(value), value_size);
        peer_message& message = self(data).state_of(frame->hd.stream_id).incoming;
        if (field == ":path" && text.starts_with(path_prefix)) {
            message.method = text.substr(path_prefix.size());
        } else if (field == ":status") {
            message.is_good = text == status_ok;
        }
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
        std::size_t size, void* data)
    {
        std::string& body = self(data).state_of(stream).incoming.body;
        if (body.size() + size > most_message_bytes) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        body.append(reinterpret_cast<const char*>(bytes), size);
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        const bool is_message = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (!is_message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        peer_session& session = self(data);
        const std::int32_t stream = frame->hd.stream_id;
        stream_state& state = session.state_of(stream);
        state.is_whole = true;
        session.received_before_message = session.received_bytes;
        session.loop.post([&session, held = std::weak_ptr<bool>(session.alive), stream,
                              message = std::move(state.incoming)]() mutable {
            if (!held.expired()) {
                session.on_message(stream, std::move(message));
            }
        });
        return 0;
    }

    static int on_stream_close(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* data)
    {
        peer_session& session = self(data);
        const auto found = session.streams.find(stream);
        if (found == session.streams.end()) {
            return 0;
        }
        const bool is_cut = !found->second.is_whole;
        session.streams.erase(found);
        if (is_cut) {
            session.loop.post([&session, held = std::weak_ptr<bool>(session.alive), stream, code] {
                if (!held.expired()) {
                    session.on_end(stream, std::string("stream reset: ") + nghttp2_http2_strerror(code));
                }
            });
        }
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* data)
    {
        stream_state& state = self(data).state_of(stream);
        const std::size_t size = std::min(length, state.outgoing.size() - state.outgoing_sent);
        state.outgoing.copy(reinterpret_cast<char*>(buffer), size, state.outgoing_sent);
        state.outgoing_sent += size;
        if (state.outgoing_sent == state.outgoing.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(size);
    }

    static void on_read(h2o_socket_t* socket, const char* failure)
    {
        peer_session& session = *static_cast<peer_session*>(socket->data);
        if (failure != nullptr) {
            session.end(failure);
            return;
        }
        h2o_buffer_t* input = socket->input;
        session.received_bytes += input->size;
        const ssize_t used = nghttp2_session_mem_recv(
            session.session, reinterpret_cast<const std::uint8_t*>(input->bytes), input->size);
        if (used < 0) {
            session.end(nghttp2_strerror(static_cast<int>(used)));
            return;
        }
        h2o_buffer_consume(&socket->input, static_cast<std::size_t>(used));
        release_input(socket);
        if (session.received_bytes - session.received_before_message > most_bytes_without_message) {
            session.end("no whole message within " + std::to_string(most_bytes_without_message) + " bytes");
            return;
        }
        session.flush();
    }

    static void on_written(h2o_socket_t* socket, const char* failure)
    {
        peer_session& session = *static_cast<peer_session*>(socket->data);
        session.is_sending = false;
        if (failure != nullptr) {
            session.end(failure);
            return;
        }
        session.flush();
    }

    static peer_session& self(void* data) { return *static_cast<peer_session*>(data); }
};

peer_session::peer_session(
    event_loop& loop, st_h2o_socket_t* socket, side which, message_handler on_message, end_handler on_end)
    : loop(loop)
    , socket(socket)
    , on_message(std::move(on_message))
    , on_end(std::move(on_end))
{
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_header_callback(table, &callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, &callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, &callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, &callbacks::on_stream_close);
    if (which == side::client) {
        nghttp2_session_client_new(&this->session, table, this);
    } else {
        nghttp2_session_server_new(&this->session, table, this);
    }
    nghttp2_session_callbacks_del(table);
    const nghttp2_settings_entry window{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, &window, 1);
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, window_bytes);
    socket->data = this;
    h2o_socket_read_start(socket, &callbacks::on_read);
    this->flush();
}

peer_session::~peer_session()
{
    if (this->socket != nullptr) {
        h2o_socket_close(this->socket);
    }
    nghttp2_session_del(this->session);
}

std::int32_t peer_session::send_request(const peer_message& message)
{
    const std::string path = std::string(path_prefix) + message.method;
    const std::vector<nghttp2_nv> fields{make_field(":method", "POST"), make_field(":scheme", "http"),
        make_field(":authority", "peer"), make_field(":path", path)};
    nghttp2_data_provider body{};
    body.read_callback = &callbacks::read_body;
    const std::int32_t stream =
        nghttp2_submit_request(this->session, nullptr, fields.data(), fields.size(), &body, nullptr);
    this->state_of(stream).outgoing = message.body;
    this->flush();
    return stream;
}

void peer_session::send_reply(std::int32_t stream, const peer_message& message)
{
    if (this->socket == nullptr || !this->streams.contains(stream)) {
        return;
    }
    const std::vector<nghttp2_nv> fields{make_field(":status", message.is_good ? status_ok : status_failed)};
    nghttp2_data_provider body{};
    body.read_callback = &callbacks::read_body;
    this->state_of(stream).outgoing = message.body;
    nghttp2_submit_response(this->session, stream, fields.data(), fields.size(), &body);
    this->flush();
}

void peer_session::reset(std::int32_t stream)
{
    if (this->socket == nullptr) {
        return;
    }
    this->streams.erase(stream);
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    this->flush();
}

void peer_session::release_output()
{
    if (this->sending.capacity() > most_kept_bytes) {
        std::string().swap(this->sending); // an assignment keeps the memory
    }
}

void peer_session::flush()
{
    if (this->socket == nullptr || this->is_sending) {
        return;
    }
    this->sending.clear();
    const std::uint8_t* bytes = nullptr;
    ssize_t size = 0;
    while ((size = nghttp2_session_mem_send(this->session, &bytes)) > 0) {
        this->sending.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    }
    if (size < 0) {
        this->end(nghttp2_strerror(static_cast<int>(size)));
        return;
    }
    if (this->sending.empty()) {
        this->release_output();
        // nghttp2 answers bytes that are no HTTP/2 with a last frame, and passes over what follows them.
        if (nghttp2_session_want_read(this->session) == 0 && nghttp2_session_want_write(this->session) == 0) {
            this->end("the connection's bytes don't follow HTTP/2");
        }
        return;
    }
    this->is_sending = true;
    this->sent_bytes += this->sending.size();
    h2o_iovec_t buffer = h2o_iovec_init(this->sending.data(), this->sending.size());
    h2o_socket_write(this->socket, &buffer, 1, &callbacks::on_written);
}

void peer_session::end(const std::string& reason)
{
    if (this->socket == nullptr) {
        return;
    }
    h2o_socket_close(this->socket);
    this->socket = nullptr;
    this->loop.post([this, held = std::weak_ptr<bool>(this->alive), reason] {
        if (!held.expired()) {
            const end_handler handler = this->on_end; // the handler may destroy this session
            handler(0, reason);
        }
    });
}

} // namespace sailtiller
