// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/httpstatus.h>
#include <relay/relayservice.h>

namespace sailtiller {

relay_service::relay_service(relay_service_settings settings, relay_service_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{
}

relay_service::~relay_service()
{
    while (!this->calls.empty()) {
        const relayed_call call = this->remove(this->calls.begin());
        call.exchange->when_abandoned(nullptr);
        if (call.cancel) {
            call.cancel();
        }
    }
}

relay_service::relayed_call relay_service::remove(std::map<std::uint64_t, relayed_call>::iterator place)
{
    relayed_call call = std::move(place->second);
    this->calls.erase(place);
    this->hooks.timers.cancel(call.look_timer);
    return call;
}

void relay_service::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const endpoint& peer = exchange->request().peer;
    if (!this->hooks.is_host(peer)) {
        this->refuse(exchange, {}, {"the request doesn't come from a host of the site"});
        return;
    }
    try {
        relayed_request request = decode_relay_request(exchange->request());
        if (const std::optional<relay_obstacle> obstacle = this->find_obstacle(request)) {
            this->refuse(exchange, request.target, *obstacle);
            return;
        }
        this->start(exchange, std::move(request));
    } catch (const error& malformed) {
        this->log(event_type::peer_question_malformed, {}, malformed.reason());
        exchange->respond({http_status::bad_request, {}, malformed.reason() + "\n"});
    }
}

std::optional<relay_obstacle> relay_service::find_obstacle(const relayed_request& request) const
{
    if (this->is_stopping) {
        return relay_obstacle{"the host is stopping"};
    }
    if (this->calls.size() >= this->settings.max_calls) {
        return relay_obstacle{"the host relays as many requests as it may"};
    }
    return this->hooks.find_obstacle(request.target);
}

void relay_service::refuse(const std::shared_ptr<http_exchange>& exchange, const upstream_target& target,
    const relay_obstacle& obstacle) const
{
    this->log(event_type::relay_refused, target,
        obstacle.reason + ", asked by " + exchange->request().peer.value());
    http_headers headers = {{"content-type", "text/plain"}};
    if (obstacle.has_no_way) {
        headers.push_back(make_no_way_header());
    }
    exchange->respond({http_status::unavailable, headers, obstacle.reason});
}

void relay_service::start(const std::shared_ptr<http_exchange>& exchange, relayed_request request)
{
    // A host that was suspended reads requests that their senders have given up long ago.
    if (exchange->has_caller_left()) {
        this->log(event_type::caller_left, request.target, "before its request was relayed");
        return;
    }
    const std::uint64_t key = ++this->last_key;
    this->log(event_type::relayed_for_peer, request.target,
        "for " + exchange->request().peer.value() + " to " + request.target.address.value());
    http_headers headers = {{"content-type", "application/octet-stream"}};
    if (request.takes_keep_alive) {
        headers.push_back(make_keep_alive_header());
    }
    exchange->start(http_status::ok, headers);
    relayed_call& call = this->calls[key];
    call.exchange = exchange;
    call.request = std::move(request);
    call.sent = this->hooks.timers.now();
    this->send_to_asker(call, relay_accepted_line);
    exchange->when_abandoned([this, key] { this->drop(key, "the asking host closed the connection"); });
    this->schedule_look(key);
    const relayed_request& sent = call.request;
    call.cancel = this->hooks.send(sent.target, sent.message, sent.may_repeat, this->make_handlers(key));
}

http_call_handlers relay_service::make_handlers(std::uint64_t key)
{
    http_call_handlers handlers;
    handlers.may_send = [this, key] {
        const auto found = this->calls.find(key);
        return found != this->calls.end() && !found->second.exchange->has_caller_left()
            && !this->hooks.find_obstacle(found->second.request.target);
    };
    // A resent request counts as a retry, for which only the asking host has an allowance.
    handlers.may_resend = [] { return false; };
    handlers.on_head = [this, key](int status, const http_headers& headers) {
        if (const auto found = this->calls.find(key); found != this->calls.end()) {
            this->take_head(found->second, status, headers);
        }
    };
    handlers.on_body = [this, key](std::string_view bytes) { this->take_body(key, bytes); };
    handlers.on_end = [this, key](call_ending ending, const std::string& reason) {
        this->take_end(key, ending, reason);
    };
    return handlers;
}

void relay_service::take_head(relayed_call& call, int status, const http_headers& headers)
{
    call.has_head = true;
    this->hooks.on_head(call.request.target, status, headers, call.sent);
    this->send_to_asker(call, encode_relay_head({std::nullopt, status, headers}));
}

void relay_service::send_to_asker(relayed_call& call, std::string_view bytes)
{
    call.last_answered = this->hooks.timers.now();
    call.exchange->send(bytes);
}

void relay_service::take_body(std::uint64_t key, std::string_view bytes)
{
    const auto found = this->calls.find(key);
    if (found == this->calls.end()) {
        return;
    }
    const std::shared_ptr<http_exchange> exchange = found->second.exchange;
    this->send_to_asker(found->second, encode_relay_body(bytes)); // may end the call
    if (exchange->queued() > this->settings.max_queued_bytes) {
        this->drop(key, "the asking host reads too slowly");
    }
}

void relay_service::take_end(std::uint64_t key, call_ending ending, const std::string& reason)
{
    const auto found = this->calls.find(key);
    if (found == this->calls.end()) {
        return;
    }
    const relayed_call call = this->remove(found);
    if (ending == call_ending::not_connected) {
        this->log(event_type::path_failed, call.request.target, "no connection: " + reason);
        call.exchange->send(encode_relay_head({reason, 0, {}}));
    } else if (ending == call_ending::whole && call.has_head) {
        call.exchange->send(encode_relay_end({true, {}}));
    } else {
        this->log(event_type::path_failed, call.request.target, "broken off: " + reason);
        call.exchange->send(encode_relay_end({false, reason}));
    }
    call.exchange->finish();
}

void relay_service::drop(std::uint64_t key, const std::string& reason)
{
    const auto found = this->calls.find(key);
    if (found == this->calls.end()) {
        return;
    }
    const relayed_call call = this->remove(found);
    this->log(event_type::caller_left, call.request.target, reason);
    if (call.cancel) {
        call.cancel();
    }
    call.exchange->abort();
}

void relay_service::schedule_look(std::uint64_t key)
{
    this->calls[key].look_timer =
        this->hooks.timers.schedule_after(this->settings.look_interval, [this, key] { this->look(key); });
}

void relay_service::look(std::uint64_t key)
{
    const auto found = this->calls.find(key);
    if (found == this->calls.end()) {
        return;
    }
    relayed_call& call = found->second;
    if (call.exchange->has_caller_left()) {
        this->drop(key, "the asking host closed the connection");
        return;
    }
    this->schedule_look(key);
    const bool is_silent = this->hooks.timers.now() - call.last_answered >= this->settings.keep_alive_after;
    // What waits for a slow host is a sign of life once it is read.
    if (call.request.takes_keep_alive && is_silent && call.exchange->queued() == 0) {
        this->send_to_asker(call, relay_keep_alive_line);
    }
}

void relay_service::end_for_stop()
{
    while (!this->calls.empty()) {
        this->drop(this->calls.begin()->first, "the host stops");
    }
}

void relay_service::log(event_type what, const upstream_target& target, const std::string& detail) const
{
    this->hooks.log({what, target.request.value(), target.id.value(), detail});
}

} // namespace sailtiller
