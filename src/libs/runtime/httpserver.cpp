// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/httpstatus.h>
#include <runtime/allocator.h>
#include <runtime/connectionentry.h>
#include <runtime/connectionmemory.h>
#include <runtime/eventlog.h>
#include <runtime/h2oheaders.h>
#include <runtime/httprejection.h>
#include <runtime/httpserver.h>
#include <runtime/lingeringclose.h>
#include <runtime/socketaddress.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller {

namespace {

/// Connections taken in one turn of the loop, so that a burst of them doesn't hold up the streams.
constexpr int most_accepts_a_turn = 32;
/// Between two looks at what rests or is sent too slowly: small against the limits, which are seconds.
constexpr duration connection_look_interval = std::chrono::milliseconds(250);
/// What h2o may have read of a head beyond its counted bytes: marks between fields, and the request line.
constexpr std::size_t most_uncounted_head_bytes = std::size_t{4} << 10U;
/// Bytes of one connection that wait in the system, and come in one turn. What is not read yet holds its
/// sender back.
constexpr int receive_buffer_bytes = 128 << 10;
/// What a host holds is worth a look at the allocator's free pages once it has been so much, and is half.
constexpr std::size_t least_freed_bytes = std::size_t{8} << 20U;
/// Until a listener that the system gives no descriptor for is asked again; it would be reported all the
/// time.
constexpr duration accept_pause = std::chrono::milliseconds(100);
/// Turns of the loop in which connections that were told to end must have closed.
constexpr int most_closing_turns = 100;

using ssl_context = std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)>;

ssl_context make_ssl_context(const tls_files& files)
{
    ssl_context context(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    const auto require = [](int result, const std::string& file) {
        if (result != 1) {
            const char* reason = ERR_reason_error_string(ERR_get_error());
            throw error({"load TLS files", file}, reason == nullptr ? "can't be used" : reason);
        }
    };
    require(SSL_CTX_use_certificate_chain_file(context.get(), files.certificate.c_str()), files.certificate);
    require(SSL_CTX_use_PrivateKey_file(context.get(), files.key.c_str(), SSL_FILETYPE_PEM), files.key);
    require(SSL_CTX_check_private_key(context.get()), files.key);
    h2o_ssl_register_alpn_protocols(context.get(), h2o_http2_alpn_protocols);
    return context;
}

std::size_t header_bytes_of(const h2o_req_t& request)
{
    std::size_t sum = request.path.len;
    for (std::size_t index = 0; index < request.headers.size; ++index) {
        sum += request.headers.entries[index].name->len + request.headers.entries[index].value.len;
    }
    return sum;
}

bool is_request_line(const http_request& request)
{
    return is_field_name(request.method) && is_field_value(request.path) && is_field_value(request.authority)
        && request.path.find_first_of(" \t") == std::string::npos;
}

} // namespace

struct http_server::state
{
    state(event_loop& event_loop, const http_server_limits& server_limits, request_handler on_request)
        : loop(event_loop)
        , limits(server_limits)
        , handler(std::move(on_request))
        , tls(nullptr, SSL_CTX_free)
        , memory(server_limits.memory ? server_limits.memory : make_memory_budget(default_process_bytes))
        , lingering(event_loop)
    {
    }

    void configure();
    void configure_path(h2o_pathconf_t* path);

    /// Answers a request in the handler's place.
    void reject(http_exchange& exchange, int status, const char* outcome, const std::string& reason);
    /// Answers a request that isn't whole, as far as its protocol allows it, and ends its connection.
    void refuse(h2o_socket_t& socket, connection_entry& entry, int status, const std::string& reason);

    static int handle(h2o_handler_t* self, h2o_req_t* request);
    static void filter(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** slot);
    static void log(h2o_logger_t* self, h2o_req_t* request);
    void limit_unread_time(h2o_socket_t* socket) const;
    static void accept(h2o_socket_t* listener, const char* failure);
    void add_connection(h2o_socket_t* socket);
    /// Ends the connection that has rested for the longest time; false if there is none.
    bool end_resting_connection();
    void pause_accepting();
    void note_rest(connection_entry& entry);
    void note_use(connection_entry& entry);
    static void forget(void* data);

    /// Gives the limits to h2o, as far as it knows them.
    void apply_limits();
    void schedule_look();
    /// Closes connections that rest for too long or whose headers take too long.
    void look_at_connections();
    [[nodiscard]] bool is_overdue(h2o_socket_t& socket, const connection_entry& entry, time_point now) const;
    void end_connections();

    /// Most that all holders together have while requests are read; one at the limits fits in any case.
    [[nodiscard]] std::size_t most_bytes_while_reading() const;
    /// Counts what the connections hold, once that is due, and ends those that are too much.
    void look_at_memory();
    void count_open_streams();
    [[nodiscard]] bool has_too_large_head(const h2o_socket_t& socket, const connection_entry& entry) const;
    void return_freed_memory();

    event_loop& loop;
    http_server_limits limits;
    request_handler handler;
    std::function<void(const http_server_event&)> on_rejected;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept_context{};
    ssl_context tls;
    std::vector<h2o_socket_t*> listeners;
    std::set<h2o_socket_t*> connections;
    std::shared_ptr<bool> is_closing = std::make_shared<bool>(false);
    timer_id look_timer = 0;
    timer_id accept_timer = 0;
    turn_action_id turn_action = 0;
    connection_memory memory;
    lingering_closes lingering;
    resting_connections resting;
    time_point next_count{};
    std::size_t most_held = 0; ///< since free memory was given back
    std::set<const h2o_req_t*> handled; ///< requests that the handler answers, not h2o by itself
};

namespace {

/// h2o's handler and logger with a way back to the server.
struct server_handler
{
    h2o_handler_t super;
    void* server;
};

struct server_filter
{
    h2o_filter_t super;
    void* server;
};

struct server_logger
{
    h2o_logger_t super;
    void* server;
};

} // namespace

void http_server::state::configure_path(h2o_pathconf_t* path)
{
    auto* logger = reinterpret_cast<server_logger*>(h2o_create_logger(path, sizeof(server_logger)));
    logger->super.log_access = &state::log;
    logger->server = this;
    auto* filter = reinterpret_cast<server_filter*>(h2o_create_filter(path, sizeof(server_filter)));
    filter->super.on_setup_ostream = &state::filter;
    filter->server = this;
    h2o_chunked_register(path);
}

void http_server::state::filter(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** slot)
{
    const auto* server = static_cast<state*>(reinterpret_cast<server_filter*>(self)->server);
    if (server->handled.count(request) == 0) {
        set_up_rejection(request, slot);
    }
    h2o_setup_next_ostream(request, slot);
}

void http_server::state::configure()
{
    h2o_config_init(&this->config);
    this->config.server_name = h2o_iovec_init("sailtiller", std::strlen("sailtiller"));
    h2o_hostconf_t* host = h2o_config_register_host(&this->config, h2o_iovec_init("default", 7), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* handler_entry = reinterpret_cast<server_handler*>(h2o_create_handler(path, sizeof(server_handler)));
    handler_entry->super.on_req = &state::handle;
    handler_entry->server = this;
    this->configure_path(path);
    this->configure_path(&host->fallback_path);
    h2o_context_init(&this->context, this->loop.native(), &this->config);
    this->apply_limits();
    this->accept_context.ctx = &this->context;
    this->accept_context.hosts = this->config.hosts;
    this->accept_context.ssl_ctx = this->tls.get();
}

void http_server::state::apply_limits()
{
    using std::chrono::milliseconds;
    this->config.max_request_entity_size = this->limits.most_body_bytes;
    // h2o has one time for a connection at rest and for the whole request; ours close what is over sooner.
    const duration longest =
        std::max(this->limits.request_time, this->limits.idle_time.value_or(duration::zero()));
    this->context.http1.req_timeout.timeout =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(longest).count());
}

void http_server::state::schedule_look()
{
    if (this->look_timer != 0) {
        return;
    }
    this->look_timer = this->loop.schedule_after(connection_look_interval, [this] {
        this->look_timer = 0;
        this->schedule_look();
        this->look_at_connections();
        this->lingering.tidy();
        this->return_freed_memory();
    });
}

void http_server::state::look_at_connections()
{
    const time_point now = this->loop.now();
    for (h2o_socket_t* socket : this->connections) {
        auto& entry = *static_cast<connection_entry*>(socket->on_close.data);
        note_open_headers(*socket, entry, now);
        if (this->is_overdue(*socket, entry, now)) {
            close_connection(*socket, entry);
        }
    }
}

bool http_server::state::is_overdue(h2o_socket_t& socket, const connection_entry& entry, time_point now) const
{
    if (entry.open_requests > 0) {
        return false;
    }
    const bool are_headers_late = this->limits.header_time && entry.headers_since
        && now - *entry.headers_since > *this->limits.header_time;
    const bool rests_too_long =
        this->limits.idle_time && !has_bytes(socket) && now - entry.rests_since > *this->limits.idle_time;
    return are_headers_late || rests_too_long;
}

void http_server::state::reject(
    http_exchange& exchange, int status, const char* outcome, const std::string& reason)
{
    exchange.respond(make_rejection(status, outcome));
    if (this->on_rejected) {
        this->on_rejected({status, exchange.request().peer, reason});
    }
}

int http_server::state::handle(h2o_handler_t* self, h2o_req_t* request)
{
    auto* server = static_cast<state*>(reinterpret_cast<server_handler*>(self)->server);
    connection_entry& connection = note_request(request);
    ++connection.open_requests;
    server->note_use(connection);
    server->handled.insert(request);
    const std::size_t header_bytes = header_bytes_of(*request);
    if (header_bytes > server->limits.most_header_bytes) {
        request->headers.size = 0; // one byte over HTTP/2 may stand for thousands, which nobody is to copy
    }
    server->memory.note_whole_request(connection, request->entity.len);
    const std::shared_ptr<http_exchange> exchange =
        http_exchange::create(request, {server->is_closing, server->memory.budget()});
    if (connection.is_closing) {
        // It crossed the close: its caller sees that nobody took it, so nobody may.
        exchange->respond({http_status::unavailable, {}, ""});
        return 0;
    }
    if (header_bytes > server->limits.most_header_bytes) {
        server->reject(*exchange, http_status::headers_too_large, "not-run", "the headers are too large");
        return 0;
    }
    if (exchange->lacks_memory()) {
        server->reject(*exchange, http_status::unavailable, "not-run", "the host has no memory left for it");
        return 0;
    }
    // What is passed on over HTTP/1 must not be read as another field, or request, there. h2o checks this of
    // HTTP/1 alone.
    if (!are_fields(exchange->request().headers) || !is_request_line(exchange->request())) {
        server->reject(*exchange, http_status::bad_request, "not-run", "the head holds control bytes");
        return 0;
    }
    // No exception may pass through h2o's frames, and one request's must not end the others.
    try {
        server->handler(exchange);
    } catch (const std::exception& failure) {
        server->reject(*exchange, http_status::internal_error, "unknown", failure.what());
    }
    return 0;
}

void http_server::state::log(h2o_logger_t* self, h2o_req_t* request)
{
    auto* server = static_cast<state*>(reinterpret_cast<server_logger*>(self)->server);
    connection_entry& connection = note_request(request);
    const bool is_own_answer = server->handled.erase(request) != 0;
    connection.open_requests -= is_own_answer ? 1 : 0;
    connection.discarded_bytes = 0;
    connection.rests_since = server->loop.now();
    server->note_rest(connection);
    if (request->res.status == 0 || is_own_answer) {
        return;
    }
    if (!connection.is_http2 && request->http1_is_persistent == 0 && server->tls == nullptr) {
        // Its caller may be sending the rest of it.
        server->lingering.add(h2o_socket_get_fd(connection.socket));
    }
    if (!server->on_rejected) {
        return;
    }
    server->on_rejected({request->res.status, connection.peer, "refused while it was read"});
}

void http_server::state::note_rest(connection_entry& entry)
{
    if (entry.open_requests == 0) {
        this->note_use(entry);
        entry.resting = this->resting.insert(this->resting.end(), entry.socket);
    }
}

void http_server::state::note_use(connection_entry& entry)
{
    if (entry.resting) {
        this->resting.erase(*entry.resting);
        entry.resting.reset();
    }
}

void http_server::state::refuse(
    h2o_socket_t& socket, connection_entry& entry, int status, const std::string& reason)
{
    if (h2o_socket_is_reading(&socket) == 0) {
        return; // h2o answers it already
    }
    const bool can_answer = this->tls == nullptr && !entry.is_http2 && entry.open_requests == 0
        && h2o_socket_is_writing(&socket) == 0;
    if (can_answer) {
        const int descriptor = h2o_socket_get_fd(&socket);
        const std::string answer = write_rejection(status);
        // A caller that leaves no room for so little sees the connection's end alone.
        send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        this->lingering.add(descriptor);
    }
    entry.has_request = true; // it has had its event
    if (this->on_rejected) {
        this->on_rejected({can_answer ? status : 0, entry.peer, reason});
    }
    end_connection(socket, entry);
}

/// The system closes a connection whose peer takes nothing, or acknowledges nothing, of what waits for it for
/// so long.
void http_server::state::limit_unread_time(h2o_socket_t* socket) const
{
    const auto limit = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::milliseconds>(this->limits.unread_time).count());
    // A refusal by the system leaves what waits bounded in bytes.
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

void http_server::state::accept(h2o_socket_t* listener, const char* failure)
{
    if (failure != nullptr) {
        return;
    }
    auto* server = static_cast<state*>(listener->data);
    for (int count = 0; count < most_accepts_a_turn; ++count) {
        h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                server->pause_accepting();
            }
            return;
        }
        server->add_connection(socket);
    }
}

void http_server::state::add_connection(h2o_socket_t* socket)
{
    if (this->connections.size() >= this->limits.most_connections && !this->end_resting_connection()) {
        if (this->on_rejected) {
            this->on_rejected({0, peer_of(socket), "all other connections are being answered"});
        }
        h2o_socket_close(socket);
        return;
    }
    auto* entry = new connection_entry;
    entry->server = this;
    entry->socket = socket;
    entry->peer = peer_of(socket);
    entry->rests_since = this->loop.now();
    this->connections.insert(socket);
    this->note_rest(*entry);
    this->limit_unread_time(socket);
    socket->on_close.cb = &state::forget;
    socket->on_close.data = entry;
    h2o_accept(&this->accept_context, socket);
}

bool http_server::state::end_resting_connection()
{
    for (h2o_socket_t* socket : this->resting) {
        if (h2o_socket_is_reading(socket) != 0) {
            end_connection(*socket, *static_cast<connection_entry*>(socket->on_close.data));
            return true;
        }
    }
    return false;
}

void http_server::state::pause_accepting()
{
    if (this->accept_timer != 0) {
        return;
    }
    log_event(log_level::warning, event_type::request_refused,
        {{"step", "accept connection"}, {"reason", std::strerror(errno)}});
    for (h2o_socket_t* listener : this->listeners) {
        h2o_socket_read_stop(listener);
    }
    this->accept_timer = this->loop.schedule_after(accept_pause, [this] {
        this->accept_timer = 0;
        for (h2o_socket_t* listener : this->listeners) {
            h2o_socket_read_start(listener, &state::accept);
        }
    });
}

std::size_t http_server::state::most_bytes_while_reading() const
{
    return std::max(this->memory.budget()->max_bytes() / 2,
        this->limits.most_body_bytes + this->limits.most_header_bytes);
}

void http_server::state::look_at_memory()
{
    if (this->connections.empty()) {
        return;
    }
    const time_point now = this->loop.now();
    if (now < this->next_count) {
        return;
    }
    this->count_open_streams();
    std::vector<h2o_socket_t*> too_large;
    for (h2o_socket_t* socket : this->connections) {
        auto& entry = *static_cast<connection_entry*>(socket->on_close.data);
        this->memory.count(*socket, entry, now);
        if (this->has_too_large_head(*socket, entry)) {
            too_large.push_back(socket);
        }
    }
    for (h2o_socket_t* socket : too_large) {
        this->refuse(*socket, *static_cast<connection_entry*>(socket->on_close.data),
            http_status::headers_too_large, "the headers are too large");
    }
    const std::size_t most_bytes = this->most_bytes_while_reading();
    for (h2o_socket_t* socket : this->memory.find_excess(this->connections, most_bytes, now)) {
        auto& entry = *static_cast<connection_entry*>(socket->on_close.data);
        if (entry.open_requests > 0 && !entry.is_http2) {
            close_connection(*socket, entry); // its caller leaves an answer unread
        } else {
            this->refuse(
                *socket, entry, http_status::unavailable, "the host has no memory left for the rest of it");
        }
    }
    this->most_held = std::max(this->most_held, this->memory.budget()->held());
    this->next_count = now + this->memory.time_to_next_count(most_bytes);
}

void http_server::state::count_open_streams()
{
    if (h2o_linklist_is_empty(&this->context.http2._conns) != 0) {
        return;
    }
    for (h2o_socket_t* socket : this->connections) {
        static_cast<connection_entry*>(socket->on_close.data)->open_streams = 0;
    }
    H2O_HTTP2_CALLBACKS.foreach_request(
        &this->context,
        [](h2o_req_t* request, void* data) {
            h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
            auto& entry = *static_cast<connection_entry*>(socket->on_close.data);
            entry.is_http2 = true;
            // Streams may also stand for priorities alone.
            const bool has_head = request->input.method.len > 0;
            const bool is_whole = static_cast<const state*>(data)->handled.count(request) != 0;
            entry.open_streams += has_head && !is_whole ? 1 : 0;
            return 0;
        },
        this);
}

bool http_server::state::has_too_large_head(const h2o_socket_t& socket, const connection_entry& entry) const
{
    return !entry.is_http2 && entry.open_requests == 0
        && socket.input->size > this->limits.most_header_bytes + most_uncounted_head_bytes
        && has_open_headers(socket);
}

void http_server::state::return_freed_memory()
{
    const std::size_t held = this->memory.budget()->held();
    if (this->most_held < least_freed_bytes || held > this->most_held / 2) {
        return;
    }
    return_free_memory();
    this->most_held = held;
}

void http_server::state::forget(void* data)
{
    const std::unique_ptr<connection_entry> entry(static_cast<connection_entry*>(data));
    auto* server = static_cast<state*>(entry->server);
    server->connections.erase(entry->socket);
    server->note_use(*entry);
    server->memory.forget(*entry);
    if (!entry->has_request && server->on_rejected) {
        server->on_rejected({0, entry->peer, "the connection ended before a whole request came"});
    }
}

void http_server::state::end_connections()
{
    for (h2o_socket_t* socket : this->connections) {
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
    for (int turn = 0; turn < most_closing_turns && !this->connections.empty(); ++turn) {
        this->loop.run_once(duration::zero());
    }
}

http_server::http_server(event_loop& loop, const http_server_limits& limits,
    const std::optional<tls_files>& tls, request_handler handler)
    : inner(std::make_unique<state>(loop, limits, std::move(handler)))
{
    if (tls) {
        this->inner->tls = make_ssl_context(*tls);
    }
    this->inner->configure();
    this->inner->schedule_look();
    this->inner->turn_action =
        loop.add_turn_action([server = this->inner.get()] { server->look_at_memory(); });
}

void http_server::set_limits(const http_server_limits& limits)
{
    this->inner->limits = limits;
    this->inner->apply_limits();
    this->inner->schedule_look();
}

http_server::~http_server()
{
    this->inner->loop.cancel(this->inner->look_timer);
    this->inner->loop.cancel(this->inner->accept_timer);
    this->inner->loop.remove_turn_action(this->inner->turn_action);
    this->close_listeners();
    this->inner->end_connections();
    if (this->inner->connections.empty()) {
        h2o_timeout_unlink(&this->inner->context.http2._graceful_shutdown_timeout);
        h2o_context_dispose(&this->inner->context);
        h2o_config_dispose(&this->inner->config);
        return;
    }
    // Requests that nobody has answered keep their connections, which still refer to this state.
    static auto* const abandoned = new std::vector<std::unique_ptr<state>>;
    abandoned->push_back(std::move(this->inner));
}

endpoint http_server::listen(const endpoint& address)
{
    const listening_socket bound = open_listening_socket(address);
    // Its connections have the same; the system's own choice is sound too, but larger.
    setsockopt(bound.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    h2o_socket_t* listener =
        h2o_evloop_socket_create(this->inner->loop.native(), bound.descriptor, H2O_SOCKET_FLAG_DONT_READ);
    listener->data = this->inner.get();
    h2o_socket_read_start(listener, &state::accept);
    this->inner->listeners.push_back(listener);
    return bound.address;
}

std::shared_ptr<memory_budget> make_memory_budget(std::size_t process_bytes)
{
    const std::size_t bytes = process_bytes / 2;
    return std::make_shared<memory_budget>(bytes, bytes / 4);
}

void http_server::when_rejected(std::function<void(const http_server_event&)> action)
{
    this->inner->on_rejected = std::move(action);
}

void http_server::close_listeners()
{
    for (h2o_socket_t* listener : this->inner->listeners) {
        h2o_socket_read_stop(listener);
        h2o_socket_close(listener);
    }
    const bool was_open = !this->inner->listeners.empty();
    this->inner->listeners.clear();
    if (was_open) {
        h2o_context_request_shutdown(&this->inner->context);
    }
}

void http_server::close_after_answers()
{
    *this->inner->is_closing = true;
}

void http_server::close_idle_connections()
{
    for (h2o_socket_t* socket : this->inner->connections) {
        auto& entry = *static_cast<connection_entry*>(socket->on_close.data);
        if (entry.open_requests == 0 && !has_bytes(*socket)) {
            close_connection(*socket, entry);
        }
    }
}

std::size_t http_server::connection_count() const
{
    return this->inner->connections.size();
}

} // namespace sailtiller
