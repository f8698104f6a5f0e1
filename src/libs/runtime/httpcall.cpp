// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/timetext.h>
#include <runtime/answerheadcheck.h>
#include <runtime/eventlog.h>
#include <runtime/h2oheaders.h>
#include <runtime/httpcall.h>
#include <runtime/socketaddress.h>

#include <http_parser.h>

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace sailtiller {

namespace {

/// Bytes that an upstream leaves without acknowledgement for this long end the connection: a machine behind a
/// cut says nothing, and the system's own limit is many minutes.
constexpr unsigned unacknowledged_limit_milliseconds = 2'500;
constexpr int switching_protocols = 101;

std::string encode_head(const http_request& request)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    for (const http_header& header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    const bool has_body = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (has_body) {
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n";
}

void set_connection_options(h2o_socket_t* socket)
{
    const int descriptor = h2o_socket_get_fd(socket);
    const int on = 1;
    // Both only sharpen behaviour that is sound without them, so a refusal by the system is no fault.
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_limit_milliseconds,
        sizeof(unacknowledged_limit_milliseconds));
}

/// Connects from an address of this host's own. The callback runs without a failure also when the connection
/// wasn't made; `find_connect_fault` tells. Null if the system refuses.
h2o_socket_t* connect_from(
    event_loop& loop, const endpoint& source, socket_address& target, h2o_socket_cb on_connected)
{
    const socket_address own = to_socket_address(source);
    const int descriptor = socket(target.pointer()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    const bool is_begun = bind(descriptor, own.pointer(), own.length) == 0
        && (connect(descriptor, target.pointer(), target.length) == 0 || errno == EINPROGRESS);
    if (!is_begun) {
        close(descriptor);
        return nullptr;
    }
    h2o_socket_t* made = h2o_evloop_socket_create(loop.native(), descriptor, 0);
    h2o_socket_notify_write(made, on_connected);
    return made;
}

/// The reason why a connection from an address of this host's own was not made; null if it was.
const char* find_connect_fault(h2o_socket_t* socket)
{
    int fault = 0;
    socklen_t size = sizeof(fault);
    const bool is_known = getsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_ERROR, &fault, &size) == 0;
    return is_known && fault == 0 ? nullptr : h2o_socket_error_conn_fail;
}

} // namespace

/// The state of http_parser with the headers that are being read.
struct http_call::parser
{
    explicit parser(http_call& call, bool is_head)
        : owner(call)
        , is_head_request(is_head)
    {
        http_parser_init(&this->native, HTTP_RESPONSE);
        this->native.data = this;
        http_parser_settings_init(&this->settings);
        this->settings.on_message_begin = [](http_parser* native) {
            of(native).is_head_open = true;
            return 0;
        };
        this->settings.on_header_field = [](http_parser* native, const char* at, std::size_t length) {
            of(native).take_name({at, length});
            return 0;
        };
        this->settings.on_header_value = [](http_parser* native, const char* at, std::size_t length) {
            of(native).take_value({at, length});
            return 0;
        };
        this->settings.on_headers_complete = [](http_parser* native) { return of(native).finish_head(); };
        this->settings.on_body = [](http_parser* native, const char* at, std::size_t length) {
            return of(native).take_body({at, length});
        };
        this->settings.on_message_complete = [](http_parser* native) { return of(native).finish(); };
    }

    static parser& of(http_parser* native) { return *static_cast<parser*>(native->data); }

    void take_name(std::string_view part)
    {
        if (!this->is_in_name) {
            this->headers.push_back({});
        }
        this->is_in_name = true;
        this->headers.back().name += part;
    }

    void take_value(std::string_view part)
    {
        this->is_in_name = false;
        this->headers.back().value += part;
    }

    int finish_head()
    {
        this->is_in_name = false;
        this->is_head_open = false;
        const int status = static_cast<int>(this->native.status_code);
        if (status >= http_status::first_final) {
            for (http_header& header : this->headers) {
                header.name = lower_case(header.name);
            }
            this->has_head = true;
            this->owner.handlers.on_head(status, this->headers);
        }
        this->headers.clear();
        if (!this->has_head) {
            this->note_interim_head(status);
        }
        if (this->owner.has_ended || this->fault) {
            return -1;
        }
        constexpr int skip_body = 1;
        return this->is_head_request ? skip_body : 0;
    }

    void note_interim_head(int status)
    {
        const unsigned max_interim = this->owner.options.head.max_interim;
        if (status == switching_protocols) {
            this->fault = answer_fault::not_http;
            this->fault_reason = "it changes to a protocol that was not asked for";
        } else if (++this->interim_heads > max_interim) {
            this->fault = answer_fault::interim_heads;
            this->fault_reason = "more than " + std::to_string(max_interim) + " heads precede the final one";
        }
    }

    int take_body(std::string_view bytes)
    {
        this->owner.handlers.on_body(bytes);
        return this->owner.has_ended ? -1 : 0;
    }

    int finish()
    {
        if (!this->has_head) {
            return 0; // an interim answer; the final one follows
        }
        this->is_whole = true;
        this->is_reusable = http_should_keep_alive(&this->native) != 0;
        // Whatever follows belongs to no request of ours.
        http_parser_pause(&this->native, 1);
        return 0;
    }

    http_call& owner;
    http_parser native{};
    http_parser_settings settings{};
    answer_head_check check;
    http_headers headers;
    bool is_head_request = false;
    bool is_in_name = false;
    bool is_head_open = false; ///< a head has begun and not ended
    bool has_head = false; ///< the final one
    std::size_t head_bytes = 0; ///< so far, with those of heads before the final one
    unsigned interim_heads = 0;
    std::optional<answer_fault> fault; ///< found in a head that follows the protocol
    std::string fault_reason;
    bool is_whole = false;
    bool is_reusable = false; ///< the peer keeps the connection
};

http_call::http_call(
    event_loop& loop, endpoint target, const http_call_options& options, http_call_handlers handlers)
    : loop(loop)
    , target(std::move(target))
    , options(options)
    , handlers(std::move(handlers))
{
}

http_call::~http_call() = default;

std::shared_ptr<http_call> http_call::start(event_loop& loop, const endpoint& target,
    const http_request& request, const http_call_options& options, http_call_handlers handlers)
{
    std::shared_ptr<http_call> call(new http_call(loop, target, options, std::move(handlers)));
    call->self = call;
    call->work = loop.add_work([started = call.get()] { started->abandon(); });
    call->began = loop.now();
    call->head = encode_head(request);
    call->body = request.body;
    call->is_head_request = request.method == "HEAD";
    h2o_socket_t* kept = options.pool == nullptr ? nullptr : options.pool->take(target);
    if (kept != nullptr) {
        call->socket = kept;
        call->is_reused = true;
        kept->data = call.get();
        call->begin_exchange();
    } else {
        call->connect();
    }
    return call;
}

void http_call::connect()
{
    std::optional<socket_address> address = find_socket_address(this->target);
    if (!address) {
        this->loop.post([keep = this->shared_from_this()] {
            keep->fail_connection("the address is no number with a port");
        });
        return;
    }
    this->connect_timer = this->loop.schedule_after(this->options.connect_limit,
        [this] { this->fail_connection("no connection within the time limit"); });
    const auto on_connected = [](h2o_socket_t* native, const char* failure) {
        static_cast<http_call*>(native->data)->guard(&http_call::take_connection, failure);
    };
    this->socket = this->options.source
        ? connect_from(this->loop, *this->options.source, *address, on_connected)
        : h2o_socket_connect(this->loop.native(), address->pointer(), address->length, on_connected);
    if (this->socket == nullptr) {
        this->loop.post(
            [keep = this->shared_from_this()] { keep->fail_connection("the system gave no socket"); });
        return;
    }
    this->socket->data = this;
    set_connection_options(this->socket);
}

/// No exception may pass through h2o's frames, which would leave its sockets in a state of their own.
void http_call::guard(void (http_call::*action)(const char*), const char* failure)
{
    const std::shared_ptr<http_call> keep = this->shared_from_this();
    try {
        (this->*action)(failure);
    } catch (const std::exception& fault) {
        log_event(log_level::failure, event_type::internal_error,
            {{"step", "take answer"}, {"peer", this->target.value()}, {"reason", fault.what()}});
        this->end(call_ending::broken, fault.what());
    }
}

void http_call::take_connection(const char* failure)
{
    this->loop.cancel(this->connect_timer);
    const char* fault =
        failure == nullptr && this->options.source ? find_connect_fault(this->socket) : failure;
    if (fault != nullptr) {
        this->fail_connection(fault);
        return;
    }
    if (this->options.on_connection) {
        this->options.on_connection(true);
    }
    if (this->handlers.may_send && !this->handlers.may_send()) {
        this->end_without_connection("it may no longer be sent");
        return;
    }
    this->begin_exchange();
}

void http_call::fail_connection(const std::string& reason)
{
    if (this->has_ended) {
        return;
    }
    if (this->options.on_connection) {
        this->options.on_connection(false);
    }
    this->end_without_connection(reason);
}

/// "Not connected" is taken as proof that no upstream has the request. One that went out over a kept
/// connection may have been begun before that closed, whatever becomes of its second connection.
void http_call::end_without_connection(const std::string& reason)
{
    this->end(this->has_left ? call_ending::broken : call_ending::not_connected, reason);
}

void http_call::begin_exchange()
{
    this->has_left = true;
    this->incoming = std::make_unique<parser>(*this, this->is_head_request);
    this->is_sent = false;
    this->has_received = false;
    std::array<h2o_iovec_t, 2> parts{h2o_iovec_init(this->head.data(), this->head.size()),
        h2o_iovec_init(this->body.text().data(), this->body.size())};
    h2o_socket_write(this->socket, parts.data(), this->body.empty() ? 1 : parts.size(),
        [](h2o_socket_t* native, const char* failure) {
            // A failed write shows as a failed read, which may still bring an answer given before the close.
            static_cast<http_call*>(native->data)->is_sent = failure == nullptr;
        });
    h2o_socket_read_start(this->socket, [](h2o_socket_t* native, const char* read_failure) {
        static_cast<http_call*>(native->data)->guard(&http_call::take_bytes, read_failure);
    });
}

/// A kept connection that the peer had closed tells so only when it is used.
bool http_call::may_start_again() const
{
    return this->is_reused && !this->has_received && this->handlers.may_resend && this->handlers.may_resend();
}

void http_call::take_bytes(const char* failure)
{
    const std::shared_ptr<http_call> keep = this->shared_from_this();
    h2o_buffer_t* input = this->socket->input;
    if (input->size > 0) {
        const std::string bytes(input->bytes, input->size);
        h2o_buffer_consume(&this->socket->input, input->size);
        this->has_received = true;
        this->parse(bytes);
    }
    if (this->has_ended || failure == nullptr) {
        return;
    }
    if (this->may_start_again()) {
        this->release_socket(false);
        this->is_reused = false;
        this->connect();
        return;
    }
    // An orderly close ends an answer that has no length. A reset looks like one if a write has met it first,
    // as the system tells it once; so an answer that ends before its request is sent isn't whole.
    if (failure == h2o_socket_error_closed && this->is_sent) {
        http_parser_execute(&this->incoming->native, &this->incoming->settings, nullptr, 0);
        if (this->incoming->is_whole) {
            this->end(call_ending::whole, "");
            return;
        }
    }
    this->end(call_ending::broken, failure);
}

void http_call::parse(std::string_view bytes)
{
    if (!this->incoming->has_head) {
        // A body may follow in the same bytes, so no more than what a head may still be is given at once.
        const std::size_t max_bytes = this->options.head.max_bytes;
        const std::string_view part = bytes.substr(0, max_bytes - this->incoming->head_bytes);
        bytes.remove_prefix(part.size());
        this->incoming->head_bytes += part.size();
        this->incoming->is_head_open = true;
        if (const std::optional<std::string> fault = this->incoming->check.take(part)) {
            this->fail_answer(answer_fault::not_http, *fault);
            return;
        }
        this->parse_part(part, bytes.empty());
        if (!this->has_ended && !this->incoming->has_head && this->incoming->head_bytes >= max_bytes) {
            this->fail_answer(
                answer_fault::head_bytes, "the head exceeds " + std::to_string(max_bytes) + " bytes");
        }
        this->watch_head();
    }
    if (!this->has_ended && !bytes.empty()) {
        this->parse_part(bytes, true);
    }
}

void http_call::parse_part(std::string_view bytes, bool is_last)
{
    const std::size_t used =
        http_parser_execute(&this->incoming->native, &this->incoming->settings, bytes.data(), bytes.size());
    if (this->has_ended) {
        return;
    }
    if (this->incoming->is_whole) {
        // Bytes beyond the answer belong to no request.
        this->incoming->is_reusable = this->incoming->is_reusable && is_last && used == bytes.size();
        this->end(call_ending::whole, "");
        return;
    }
    const auto error = static_cast<http_errno>(this->incoming->native.http_errno);
    if (this->incoming->fault) {
        this->fail_answer(*this->incoming->fault, this->incoming->fault_reason);
    } else if (error != HPE_OK) {
        this->fail_answer(answer_fault::not_http, http_errno_description(error));
    }
}

void http_call::watch_head()
{
    if (this->has_ended || !this->incoming->is_head_open) {
        this->loop.cancel(std::exchange(this->head_timer, 0));
    } else if (this->head_timer == 0) {
        this->head_timer = this->loop.schedule_after(this->options.head.time, [this] {
            this->head_timer = 0;
            this->fail_answer(answer_fault::head_time,
                "the head has not ended within " + write_milliseconds(this->options.head.time) + " ms");
        });
    }
}

void http_call::fail_answer(answer_fault fault, const std::string& reason)
{
    if (this->options.on_fault) {
        this->options.on_fault(fault);
    }
    this->end(call_ending::broken, reason);
}

void http_call::end(call_ending ending, const std::string& reason)
{
    if (this->has_ended) {
        return;
    }
    const std::shared_ptr<http_call> keep = this->shared_from_this();
    this->close(ending == call_ending::whole && this->is_sent && this->incoming->is_reusable);
    this->handlers.on_end(ending, reason);
}

void http_call::cancel()
{
    if (!this->has_ended) {
        this->close();
    }
}

void http_call::abandon()
{
    const std::shared_ptr<http_call> keep = this->shared_from_this();
    this->cancel();
    this->handlers = {};
    this->options = {};
}

void http_call::give_up()
{
    if (this->has_ended) {
        return;
    }
    // Whatever made this connection silent without a reset may have made the others so, and each would cost a
    // call its whole time. One that has carried an answer since then is sound.
    if (this->options.pool != nullptr && !this->has_received) {
        this->options.pool->drop_idle(this->target, this->began);
    }
    this->close();
}

void http_call::release_socket(bool keeps_it)
{
    if (this->socket == nullptr) {
        return;
    }
    h2o_socket_t* released = this->socket;
    this->socket = nullptr;
    h2o_socket_read_stop(released);
    if (keeps_it && this->options.pool != nullptr) {
        this->options.pool->give(this->target, released);
        return;
    }
    h2o_socket_close(released);
}

void http_call::close(bool keeps_socket)
{
    this->has_ended = true;
    this->loop.remove_work(this->work);
    this->loop.cancel(this->connect_timer);
    this->loop.cancel(this->head_timer);
    this->release_socket(keeps_socket);
    // The parser may be on the stack above this call.
    this->loop.post([keep = std::move(this->self)] {});
}

} // namespace sailtiller
