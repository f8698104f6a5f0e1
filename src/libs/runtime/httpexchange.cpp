// SPDX-License-Identifier: Apache-2.0
#include <runtime/allocator.h>
#include <runtime/connectionentry.h>
#include <runtime/eventlog.h>
#include <runtime/h2oheaders.h>
#include <runtime/httpexchange.h>
#include <runtime/socketaddress.h>

#include <cerrno>
#include <sys/socket.h>

namespace sailtiller {

namespace {

/// What an exchange costs beside the bytes of its bodies, with the delivery behind it.
constexpr std::size_t exchange_bytes = std::size_t{8} << 10U;

std::string to_string(h2o_iovec_t text)
{
    return {text.base, text.len};
}

http_request read_request(h2o_req_t* native)
{
    http_request request;
    request.method = to_string(native->method);
    request.path = to_string(native->path);
    request.protocol = native->version >= first_http2_version ? "HTTP/2" : "HTTP/1.1";
    for (std::size_t index = 0; index < native->headers.size; ++index) {
        const h2o_header_t& header = native->headers.entries[index];
        request.headers.push_back({lower_case(to_string(*header.name)), to_string(header.value)});
    }
    request.authority = to_string(native->input.authority);
    socket_address peer;
    peer.length = native->conn->callbacks->get_peername(native->conn, peer.pointer());
    request.peer = to_endpoint(peer);
    return request;
}

} // namespace

/// Lives in the request's own pool, so that h2o tells by its disposal when the request is gone.
struct http_exchange::generator
{
    h2o_generator_t super;
    std::shared_ptr<http_exchange>* exchange;

    static void proceed(h2o_generator_t* self, h2o_req_t*)
    {
        http_exchange& exchange = **reinterpret_cast<generator*>(self)->exchange;
        exchange.is_sending = false;
        std::string().swap(exchange.sending); // clearing it would keep the memory
        exchange.count_answer();
        exchange.flush();
    }

    static void dispose(void* memory)
    {
        auto* self = static_cast<generator*>(memory);
        (*self->exchange)->detach();
        delete self->exchange;
    }
};

http_exchange::http_exchange(h2o_req_t* native, exchange_context context)
    : incoming(read_request(native))
    , native(native)
    , connection(&note_request(native))
    , context(std::move(context))
    , held(this->context.memory)
{
    this->read_body();
}

void http_exchange::read_body()
{
    const h2o_iovec_t entity = this->native->entity;
    auto share = std::make_unique<memory_share>(this->context.memory);
    this->has_no_room = !this->held.grow_to(exchange_bytes) || !share->grow_to(entity.len);
    if (!this->has_no_room) {
        this->incoming.body = message_body(to_string(entity), std::move(share));
    }
    // h2o keeps its copy until the answer has ended, and doesn't look at it any more.
    this->connection->discarded_bytes = discard_bytes(entity.base, entity.len);
}

http_exchange::~http_exchange() = default;

std::shared_ptr<http_exchange> http_exchange::create(h2o_req_t* native, exchange_context context)
{
    std::shared_ptr<http_exchange> exchange(new http_exchange(native, std::move(context)));
    void* memory = h2o_mem_alloc_shared(&native->pool, sizeof(generator), &generator::dispose);
    exchange->source = static_cast<generator*>(memory);
    exchange->source->super = {&generator::proceed, nullptr};
    exchange->source->exchange = new std::shared_ptr<http_exchange>(exchange);
    return exchange;
}

void http_exchange::respond(http_response response)
{
    if (this->native == nullptr) {
        return;
    }
    this->native->res.content_length = response.body.size();
    this->start(response.status, response.headers);
    this->pending = std::move(response.body);
    this->count_answer();
    this->finish();
}

void http_exchange::start(int status, const http_headers& headers)
{
    if (this->native == nullptr || this->started) {
        return;
    }
    this->started = true;
    if (*this->context.is_closing) {
        this->close_connection_after();
    }
    this->native->res.status = status;
    this->native->res.reason = status < 400 ? "OK" : "Error";
    for (const http_header& header : headers) {
        const h2o_iovec_t value = h2o_strdup(&this->native->pool, header.value.data(), header.value.size());
        const h2o_iovec_t name = h2o_strdup(&this->native->pool, header.name.data(), header.name.size());
        h2o_add_header_by_str(&this->native->pool, &this->native->res.headers, name.base, name.len, 1,
            nullptr, value.base, value.len);
    }
    h2o_start_response(this->native, &this->source->super);
    this->flush();
}

void http_exchange::close_connection_after()
{
    this->native->http1_is_persistent = 0;
}

void http_exchange::send(std::string_view bytes)
{
    if (this->native == nullptr || this->is_cut) {
        return;
    }
    if (this->pending.size() + bytes.size() > max_unread_bytes) {
        this->cut("more than " + std::to_string(max_unread_bytes) + " bytes of it are unread");
        return;
    }
    if (!this->held.grow_to(exchange_bytes + this->sending.size() + this->pending.size() + bytes.size())) {
        this->cut("the host has no memory left for what is unread");
        return;
    }
    this->pending += bytes;
    this->count_answer();
    this->flush();
}

void http_exchange::count_answer()
{
    const std::size_t bytes = this->sending.size() + this->pending.size();
    this->held.set(exchange_bytes + bytes);
    if (this->native != nullptr) {
        std::size_t& unread = this->connection->unread_answer_bytes;
        unread = unread + bytes - this->waiting;
        this->waiting = bytes;
    }
}

void http_exchange::cut(const std::string& reason)
{
    this->is_cut = true;
    std::string().swap(this->pending); // an assignment keeps the memory
    this->count_answer();
    log_event(log_level::info, event_type::caller_left,
        {{"step", "send answer"}, {"peer", this->incoming.peer.value()}, {"reason", reason}});
    if (this->native->version < first_http2_version) {
        this->break_connection();
    }
}

void http_exchange::break_connection()
{
    const int descriptor = h2o_socket_get_fd(this->native->conn->callbacks->get_socket(this->native->conn));
    if (this->native->version < first_version_with_chunks) {
        // An orderly close would be the end of the body; to connect to no address resets the connection.
        const sockaddr no_address{AF_UNSPEC, {}};
        if (connect(descriptor, &no_address, sizeof(no_address)) == 0) {
            return;
        }
    }
    shutdown(descriptor, SHUT_RDWR);
}

void http_exchange::finish()
{
    this->is_ending = true;
    this->flush();
}

void http_exchange::abort()
{
    this->is_aborting = true;
    this->finish();
}

void http_exchange::flush()
{
    const bool has_work = !this->pending.empty() || this->is_ending;
    if (this->native == nullptr || !this->started || this->is_sending || this->is_done || !has_work) {
        return;
    }
    this->sending.swap(this->pending);
    this->pending.clear();
    this->is_sending = true;
    this->is_done = this->is_ending;
    if (this->is_done && *this->context.is_closing) {
        // The head may have promised to keep the connection: its caller must not send the next request to a
        // process that is about to end.
        this->close_connection_after();
    }
    h2o_iovec_t buffer = h2o_iovec_init(this->sending.data(), this->sending.size());
    const std::size_t buffers = this->sending.empty() ? 0 : 1;
    const h2o_send_state_t last_state = this->is_aborting ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
    // h2o may dispose of the request within this call, and so drop its reference to this exchange.
    const std::shared_ptr<http_exchange> keep = this->shared_from_this();
    if (this->is_aborting && this->native->version < first_http2_version) {
        // h2o marks an error within a chunked body by bytes that are no chunk; a bare close says the same in
        // the protocol's own way.
        this->break_connection();
    }
    h2o_send(this->native, &buffer, buffers, this->is_done ? last_state : H2O_SEND_STATE_IN_PROGRESS);
}

void http_exchange::detach()
{
    std::string().swap(this->pending);
    std::string().swap(this->sending);
    this->count_answer();
    this->native = nullptr;
    this->connection = nullptr;
    this->source = nullptr;
    if (!this->is_done && this->on_abandoned) {
        this->is_done = true;
        const std::function<void()> action = std::move(this->on_abandoned);
        action();
    }
    this->on_abandoned = nullptr;
}

bool http_exchange::has_caller_left() const
{
    if (this->native == nullptr || this->is_cut) {
        return true;
    }
    if (this->native->version >= first_http2_version) {
        return false; // h2o reads these connections all the time and disposes of the request itself
    }
    h2o_socket_t* socket = this->native->conn->callbacks->get_socket(this->native->conn);
    char byte = 0;
    const ssize_t count = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool has_nothing = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return count <= 0 && !has_nothing;
}

} // namespace sailtiller
