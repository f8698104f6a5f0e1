// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <relay/relayservice.h>
#include <runtime/httpserver.h>

namespace sailtiller {

/// The address at which a host of a site relays requests of other hosts to upstreams.
class site_relay
{
public:
    site_relay(event_loop& loop, http_server_limits limits, relay_service_hooks hooks);

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
    relay_service service;
    http_server server;
    std::optional<endpoint> bound;
};

} // namespace sailtiller
