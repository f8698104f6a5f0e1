// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "upstreamlink.h"

#include <relay/relayservice.h>
#include <runtime/httpserver.h>

namespace sailtiller {

/// Callbacks of the relaying side of a host.
struct site_relay_hooks
{
    /// True if the request comes from a host of the site.
    std::function<bool(const endpoint& peer)> is_host;
    /// False while this host can't confirm that its bundle is the newest.
    std::function<bool()> is_bundle_fresh;
    /// Takes over what an upstream tells of itself in the head of an answer.
    std::function<void(const upstream_target&, int status, const http_headers&, time_point sent)> on_head;
    /// Logs a decision about a request.
    std::function<void(const delivery_event&)> log;
};

/// The address at which a host of a site relays requests of other hosts to upstreams, and what it relays.
class site_relay
{
public:
    site_relay(event_loop& loop, const http_server_limits& limits, upstream_link& link,
        const upstream_directory& upstreams, const upstream_pauses& pauses, site_relay_hooks hooks);

    /// Listens at the address. Throws `error` if it can't be listened on.
    void start(const endpoint& address);
    /// Refuses new requests; those in progress continue.
    void begin_stop() { this->service.begin_stop(); }
    /// Cuts the requests in progress.
    void end_for_stop() { this->service.end_for_stop(); }
    /// The bound address; nothing if this host doesn't relay.
    [[nodiscard]] const std::optional<endpoint>& address() const { return this->bound; }
    [[nodiscard]] std::size_t calls_in_progress() const { return this->service.calls_in_progress(); }

private:
    relay_service_hooks make_service_hooks();
    /// Why this host doesn't send another host's request to the upstream; nothing if it does.
    [[nodiscard]] std::optional<relay_obstacle> find_obstacle(const upstream_target& target) const;

    event_loop& loop;
    upstream_link& link;
    const upstream_directory& upstreams;
    const upstream_pauses& pauses;
    site_relay_hooks hooks;
    relay_service service;
    http_server server;
    std::optional<endpoint> bound;
};

} // namespace sailtiller
