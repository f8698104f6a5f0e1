// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/eventtype.h>
#include <base/httpcallhandlers.h>
#include <delivery/deliverycontext.h>
#include <relay/relaymessages.h>
#include <runtime/httpexchange.h>

#include <map>

namespace sailtiller {

/// Bounds of what a host relays for others.
struct relay_service_settings
{
    /// Relayed calls at the same time. Each takes two descriptors, of a few thousand that a host has.
    std::size_t max_calls = 1024;
    /// Bytes of one answer that wait for a slow host; beyond it the call is cut.
    std::size_t max_queued_bytes = std::size_t{4} << 20U;
    /// Interval between checks whether the asking host has closed its connection, and whether it needs a
    /// sign of life.
    duration look_interval = std::chrono::milliseconds(100);
    /// An answer that has been silent for so long at such a check gets a keep-alive line, so that no pause is
    /// longer than this and the interval together: well under `relay_client_settings::silence_limit`.
    duration keep_alive_after = std::chrono::milliseconds(50);
};

/// Why a host doesn't send a request to its target.
struct relay_obstacle
{
    std::string reason; ///< for the log
    bool has_no_way = false; ///< the host can't connect to the upstream's group
};

/// Callbacks of the relay service.
struct relay_service_hooks
{
    timer_hooks timers;
    /// Returns true if the request comes from a host of the site.
    std::function<bool(const endpoint& peer)> is_host;
    /// Returns why this host doesn't send the request to the target; empty if it does.
    std::function<std::optional<relay_obstacle>(const upstream_target&)> find_obstacle;
    /// Sends a request over a connection of this host's own.
    std::function<cancel_call(
        const upstream_target&, const http_request&, bool may_repeat, http_call_handlers)>
        send;
    /// Called with the head of each answer, for limits, pauses and leaving notices.
    std::function<void(const upstream_target&, int status, const http_headers&, time_point sent)> on_head;
    std::function<void(const delivery_event&)> log;
};

/// Sends requests of other hosts, which have lost their way to some upstreams, to these upstreams. Each
/// request goes out once, over a connection of this host's own, so that no request passes two hosts; what it
/// means, and what comes after a failure, is decided by the asking host.
class relay_service
{
public:
    relay_service(relay_service_settings settings, relay_service_hooks hooks);
    ~relay_service();
    relay_service(const relay_service&) = delete;
    relay_service& operator=(const relay_service&) = delete;

    /// Relays one request, or refuses it before anything was sent.
    void handle(const std::shared_ptr<http_exchange>& exchange);
    /// Refuses all requests from now on; those in progress continue.
    void begin_stop() { this->is_stopping = true; }
    /// Cuts all calls in progress.
    void end_for_stop();
    [[nodiscard]] std::size_t calls_in_progress() const { return this->calls.size(); }

private:
    struct relayed_call
    {
        std::shared_ptr<http_exchange> exchange;
        relayed_request request;
        cancel_call cancel;
        time_point sent{};
        time_point last_answered{}; ///< when bytes of the answer were last sent to the asking host
        bool has_head = false;
        timer_id look_timer = 0;
    };

    [[nodiscard]] std::optional<relay_obstacle> find_obstacle(const relayed_request& request) const;
    void refuse(const std::shared_ptr<http_exchange>& exchange, const upstream_target& target,
        const relay_obstacle& obstacle) const;
    void start(const std::shared_ptr<http_exchange>& exchange, relayed_request request);
    [[nodiscard]] http_call_handlers make_handlers(std::uint64_t key);
    void take_head(relayed_call& call, int status, const http_headers& headers);
    void take_body(std::uint64_t key, std::string_view bytes);
    void take_end(std::uint64_t key, call_ending ending, const std::string& reason);
    /// Takes a call out of those in progress.
    relayed_call remove(std::map<std::uint64_t, relayed_call>::iterator place);
    /// Ends a call whose asking host is gone or too slow.
    void drop(std::uint64_t key, const std::string& reason);
    void schedule_look(std::uint64_t key);
    void look(std::uint64_t key);
    void send_to_asker(relayed_call& call, std::string_view bytes);
    void log(event_type what, const upstream_target& target, const std::string& detail) const;

    relay_service_settings settings;
    relay_service_hooks hooks;
    std::map<std::uint64_t, relayed_call> calls;
    std::uint64_t last_key = 0;
    bool is_stopping = false;
};

} // namespace sailtiller
