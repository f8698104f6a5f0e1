// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <runtime/h2oheaders.h>
#include <runtime/httpclient.h>
#include <runtime/socketaddress.h>

#include <unordered_map>

namespace sailtiller {

namespace {

constexpr std::size_t most_kept_connections = 4096;
/// The core bounds every call by its own timers; h2o's limit only ends calls that nobody waits for.
constexpr std::uint64_t io_limit_milliseconds = 3'600'000;

/// The request in the form in which it goes over HTTP/1.1.
std::string encode_request(const endpoint& target, const http_request& request)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nhost: " + target.value() + "\r\n";
    for (const http_header& header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    text += "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    return text + request.body;
}

} // namespace

struct http_client::call
{
    state* owner = nullptr;
    call_id id = 0;
    std::string encoded;
    bool is_head = false;
    h2o_iovec_t buffer{};
    h2o_iovec_t* buffer_list = nullptr;
    h2o_http1client_t* native = nullptr;
    timer_id connect_timer = 0;
    bool is_connected = false;
    http_response response;
    response_handler on_response;
    failure_handler on_failure;
};

struct http_client::state
{
    state(event_loop& event_loop, http_client_settings client_settings);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    h2o_socketpool_t& pool_of(const endpoint& target);
    void succeed(call& ended);
    void fail(call& ended, const std::string& step, const std::string& reason);
    std::shared_ptr<call> take(call& ended);

    static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* failure,
        h2o_iovec_t** buffers, size_t* buffer_count, int* method_is_head);
    static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* failure, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t* headers, size_t header_count, int rlen);
    static int on_body(h2o_http1client_t* client, const char* failure);

    event_loop& loop;
    http_client_settings settings;
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::unordered_map<endpoint, std::unique_ptr<h2o_socketpool_t>> pools;
    std::unordered_map<call_id, std::shared_ptr<call>> calls;
    call_id last_call = 0;
};

http_client::state::state(event_loop& event_loop, http_client_settings client_settings)
    : loop(event_loop)
    , settings(client_settings)
{
    h2o_timeout_init(this->loop.native(), &this->io_timeout, io_limit_milliseconds);
    this->context.loop = this->loop.native();
    this->context.io_timeout = &this->io_timeout;
}

http_client::state::~state()
{
    for (auto& [id, item] : this->calls) {
        this->loop.cancel(item->connect_timer);
        if (item->native != nullptr) {
            h2o_http1client_cancel(item->native);
        }
    }
    for (auto& [target, pool] : this->pools) {
        h2o_socketpool_dispose(pool.get());
    }
    h2o_timeout_dispose(this->loop.native(), &this->io_timeout);
}

h2o_socketpool_t& http_client::state::pool_of(const endpoint& target)
{
    std::unique_ptr<h2o_socketpool_t>& pool = this->pools[target];
    if (!pool) {
        socket_address address = to_socket_address(target);
        pool = std::make_unique<h2o_socketpool_t>();
        h2o_socketpool_init_by_address(
            pool.get(), address.pointer(), address.length, 0, most_kept_connections);
        const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.idle_time);
        h2o_socketpool_set_timeout(pool.get(), this->loop.native(), static_cast<std::uint64_t>(idle.count()));
    }
    return *pool;
}

std::shared_ptr<http_client::call> http_client::state::take(call& ended)
{
    this->loop.cancel(ended.connect_timer);
    ended.native = nullptr;
    const auto found = this->calls.find(ended.id);
    return found == this->calls.end() ? nullptr : found->second;
}

void http_client::state::succeed(call& ended)
{
    const std::shared_ptr<call> item = this->take(ended);
    this->loop.post([this, item] {
        if (this->calls.erase(item->id) == 1) {
            item->on_response(std::move(item->response));
        }
    });
}

void http_client::state::fail(call& ended, const std::string& step, const std::string& reason)
{
    const std::shared_ptr<call> item = this->take(ended);
    const http_progress progress = item->is_connected ? http_progress::sent : http_progress::not_sent;
    this->loop.post([this, item, failure = http_failure{progress, step, reason}] {
        if (this->calls.erase(item->id) == 1) {
            item->on_failure(failure);
        }
    });
}

h2o_http1client_head_cb http_client::state::on_connect(h2o_http1client_t* client, const char* failure,
    h2o_iovec_t** buffers, size_t* buffer_count, int* method_is_head)
{
    auto& item = *static_cast<call*>(client->data);
    if (failure != nullptr) {
        item.owner->fail(item, "connect", failure);
        return nullptr;
    }
    item.owner->loop.cancel(item.connect_timer);
    item.is_connected = true;
    item.buffer = h2o_iovec_init(item.encoded.data(), item.encoded.size());
    *buffers = &item.buffer;
    *buffer_count = 1;
    *method_is_head = item.is_head ? 1 : 0;
    return &state::on_head;
}

h2o_http1client_body_cb http_client::state::on_head(h2o_http1client_t* client, const char* failure, int,
    int status, h2o_iovec_t, h2o_header_t* headers, size_t header_count, int)
{
    auto& item = *static_cast<call*>(client->data);
    const bool has_ended = failure == h2o_http1client_error_is_eos;
    if (failure != nullptr && !has_ended) {
        item.owner->fail(item, "await response", failure);
        return nullptr;
    }
    item.response.status = status;
    for (std::size_t index = 0; index < header_count; ++index) {
        const h2o_header_t& header = headers[index];
        item.response.headers.push_back({std::string(header.name->base, header.name->len),
            std::string(header.value.base, header.value.len)});
    }
    if (has_ended) {
        item.owner->succeed(item);
        return nullptr;
    }
    return &state::on_body;
}

int http_client::state::on_body(h2o_http1client_t* client, const char* failure)
{
    auto& item = *static_cast<call*>(client->data);
    const bool has_ended = failure == h2o_http1client_error_is_eos;
    if (failure != nullptr && !has_ended) {
        item.owner->fail(item, "read response", failure);
        return -1;
    }
    h2o_buffer_t* input = client->sock->input;
    item.response.body.append(input->bytes, input->size);
    h2o_buffer_consume(&client->sock->input, input->size);
    if (item.response.body.size() > item.owner->settings.most_response_bytes) {
        item.owner->fail(item, "read response", "the body is larger than this host takes");
        return -1;
    }
    if (has_ended) {
        item.owner->succeed(item);
    }
    return 0;
}

http_client::http_client(event_loop& loop, http_client_settings settings)
    : inner(std::make_unique<state>(loop, settings))
{
}

http_client::~http_client() = default;

http_client::call_id http_client::send(const endpoint& target, const http_request& request,
    response_handler on_response, failure_handler on_failure)
{
    state& owner = *this->inner;
    const auto item = std::make_shared<call>();
    item->owner = &owner;
    item->id = ++owner.last_call;
    item->encoded = encode_request(target, request);
    item->is_head = request.method == "HEAD";
    item->on_response = std::move(on_response);
    item->on_failure = std::move(on_failure);
    owner.calls.emplace(item->id, item);
    item->connect_timer = owner.loop.schedule_after(owner.settings.connect_time, [&owner, item] {
        if (item->native != nullptr) {
            h2o_http1client_cancel(item->native);
            owner.fail(*item, "connect", "no connection within the time limit");
        }
    });
    // A call of h2o's may report at once, so the call is known by its id from here on.
    const call_id id = item->id;
    h2o_http1client_connect_with_pool(
        &item->native, item.get(), &owner.context, &owner.pool_of(target), &state::on_connect);
    return id;
}

void http_client::cancel(call_id call)
{
    const auto found = this->inner->calls.find(call);
    if (found == this->inner->calls.end()) {
        return;
    }
    const std::shared_ptr<http_client::call> item = found->second;
    this->inner->calls.erase(found);
    this->inner->loop.cancel(item->connect_timer);
    if (item->native != nullptr) {
        h2o_http1client_cancel(item->native);
        item->native = nullptr;
    }
}

std::size_t http_client::calls_in_flight() const
{
    return this->inner->calls.size();
}

} // namespace sailtiller
