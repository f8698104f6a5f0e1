// SPDX-License-Identifier: Apache-2.0
#include <runtime/connectionpool.h>
#include <runtime/httpcall.h>
#include <runtime/httpclient.h>

#include <unordered_map>

namespace sailtiller {

namespace {

/// To one endpoint; only bounds what the idle time has not closed yet.
constexpr std::size_t most_kept_connections = 4096;

} // namespace

/// One call with the response as far as it has come.
struct http_client::call
{
    std::shared_ptr<http_call> exchange;
    http_response response;
    response_handler on_response;
    failure_handler on_failure;
    std::size_t max_body_bytes = 0;
    timer_id timer = 0;
};

struct http_client::state
{
    state(event_loop& event_loop, http_client_settings client_settings)
        : loop(event_loop)
        , settings(client_settings)
        , pool(event_loop, {client_settings.idle_time, most_kept_connections})
    {
    }

    http_call_handlers make_handlers(call_id id);
    /// Takes a call out; null if it has ended or was cancelled.
    std::shared_ptr<call> take(call_id id);
    void take_body(call_id id, std::string_view bytes);
    /// Ends a call whose response is past one of its limits.
    void fail(call_id id, const std::string& reason);
    void finish(call_id id, call_ending ending, const std::string& reason);

    event_loop& loop;
    http_client_settings settings;
    connection_pool pool;
    std::unordered_map<call_id, std::shared_ptr<call>> calls;
    call_id last_call = 0;
};

std::shared_ptr<http_client::call> http_client::state::take(call_id id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return nullptr;
    }
    std::shared_ptr<call> item = found->second;
    this->calls.erase(found);
    this->loop.cancel(item->timer);
    return item;
}

void http_client::state::take_body(call_id id, std::string_view bytes)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    std::string& body = found->second->response.body;
    if (bytes.size() <= found->second->max_body_bytes - body.size()) {
        body += bytes;
        return;
    }
    this->fail(id, "the body exceeds " + std::to_string(found->second->max_body_bytes) + " bytes");
}

void http_client::state::fail(call_id id, const std::string& reason)
{
    const std::shared_ptr<call> item = this->take(id);
    item->exchange->give_up();
    this->loop.post([item, reason] { item->on_failure({http_progress::sent, "read response", reason}); });
}

void http_client::state::finish(call_id id, call_ending ending, const std::string& reason)
{
    const std::shared_ptr<call> item = this->take(id);
    if (item == nullptr) {
        return;
    }
    if (ending == call_ending::whole) {
        item->on_response(std::move(item->response));
    } else if (ending == call_ending::not_connected) {
        item->on_failure({http_progress::not_sent, "connect", reason});
    } else {
        item->on_failure({http_progress::sent, "read response", reason});
    }
}

http_call_handlers http_client::state::make_handlers(call_id id)
{
    http_call_handlers handlers;
    handlers.on_head = [this, id](int status, const http_headers& headers) {
        const auto found = this->calls.find(id);
        if (found != this->calls.end()) {
            found->second->response.status = status;
            found->second->response.headers = headers;
        }
    };
    handlers.on_body = [this, id](std::string_view bytes) { this->take_body(id, bytes); };
    handlers.on_end = [this, id](call_ending ending, const std::string& reason) {
        this->finish(id, ending, reason);
    };
    return handlers;
}

http_client::http_client(event_loop& loop, http_client_settings settings)
    : inner(std::make_unique<state>(loop, settings))
{
}

http_client::~http_client()
{
    for (auto& [id, item] : this->inner->calls) {
        this->inner->loop.cancel(item->timer);
        item->exchange->cancel();
    }
}

http_client::call_id http_client::send(const endpoint& target, const http_request& request,
    response_handler on_response, failure_handler on_failure, const http_response_limits& limits)
{
    state& owner = *this->inner;
    const call_id id = ++owner.last_call;
    const auto item = std::make_shared<call>();
    item->on_response = std::move(on_response);
    item->on_failure = std::move(on_failure);
    item->max_body_bytes = limits.max_body_bytes;
    if (limits.time) {
        item->timer = owner.loop.schedule_after(
            *limits.time, [&owner, id] { owner.fail(id, "no response within the time limit"); });
    }
    owner.calls.emplace(id, item);
    http_request message = request;
    const std::string& host = request.authority.empty() ? target.value() : request.authority;
    message.headers.insert(message.headers.begin(), {"host", host});
    http_call_options options;
    options.connect_limit = owner.settings.connect_time;
    options.pool = &owner.pool;
    item->exchange = http_call::start(owner.loop, target, message, options, owner.make_handlers(id));
    return id;
}

void http_client::cancel(call_id call)
{
    if (const std::shared_ptr<http_client::call> item = this->inner->take(call)) {
        item->exchange->cancel();
    }
}

void http_client::give_up(call_id call)
{
    if (const std::shared_ptr<http_client::call> item = this->inner->take(call)) {
        item->exchange->give_up();
    }
}

std::size_t http_client::calls_in_flight() const
{
    return this->inner->calls.size();
}

} // namespace sailtiller
