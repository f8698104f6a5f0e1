// SPDX-License-Identifier: Apache-2.0
#include "siterelay.h"

namespace sailtiller {

namespace {

/// What relay requests carry beyond the headers that a caller may send.
constexpr std::size_t own_header_bytes = 8U << 10U;

http_server_limits add_own_headers(http_server_limits limits)
{
    limits.most_header_bytes += own_header_bytes;
    return limits;
}

} // namespace

site_relay::site_relay(event_loop& loop, const http_server_limits& limits, upstream_link& link,
    const upstream_directory& upstreams, const upstream_pauses& pauses, site_relay_hooks hooks)
    : loop(loop)
    , link(link)
    , upstreams(upstreams)
    , pauses(pauses)
    , hooks(std::move(hooks))
    , service({}, this->make_service_hooks())
    , server(loop, add_own_headers(limits), std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->service.handle(exchange); })
{
}

void site_relay::start(const endpoint& address)
{
    this->bound = this->server.listen(address);
}

relay_service_hooks site_relay::make_service_hooks()
{
    relay_service_hooks item;
    item.timers = this->loop.hooks();
    item.is_host = this->hooks.is_host;
    item.find_obstacle = [this](const upstream_target& target) { return this->find_obstacle(target); };
    item.send = [this](const upstream_target& target, const http_request& request, bool may_repeat,
                    http_call_handlers handlers) {
        return this->link.send_directly(target, request, may_repeat, std::move(handlers));
    };
    item.on_head = this->hooks.on_head;
    item.log = this->hooks.log;
    return item;
}

std::optional<relay_obstacle> site_relay::find_obstacle(const upstream_target& target) const
{
    const directory_entry* entry = this->upstreams.find(target.id);
    if (entry == nullptr || entry->upstream.address != target.address) {
        return relay_obstacle{"the upstream is unknown here"};
    }
    if (!this->link.is_reachable({entry->upstream.service, entry->upstream.data_hall})) {
        return relay_obstacle{"this host can't connect to the upstream either", true};
    }
    if (target.request.value().empty()) {
        return std::nullopt; // a probe or a change of path, not new work
    }
    if (entry->upstream.is_leaving) {
        return relay_obstacle{"the upstream is leaving"};
    }
    if (this->pauses.is_paused(target.id, this->loop.now())) {
        return relay_obstacle{"the upstream asked this host for a pause"};
    }
    if (!this->hooks.is_bundle_fresh()) {
        return relay_obstacle{"this host can't confirm that its configuration is the newest"};
    }
    return std::nullopt;
}

} // namespace sailtiller
