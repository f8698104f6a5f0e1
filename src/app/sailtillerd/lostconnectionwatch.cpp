// SPDX-License-Identifier: Apache-2.0
#include "lostconnectionwatch.h"

namespace sailtiller {

namespace {

constexpr duration look_interval = std::chrono::milliseconds(50);

} // namespace

lost_connection_watch::lost_connection_watch(event_loop& loop, upstream_link& link, gateway_service& gateway)
    : link(link)
    , gateway(gateway)
    , looks(loop, "look for lost connections", look_interval, [this] { this->look(); })
{
}

void lost_connection_watch::watch()
{
    if (!this->looks.is_started()) {
        this->looks.start_after(look_interval);
    }
}

void lost_connection_watch::look()
{
    this->gateway.leave_lost_connections(
        [this](const upstream_id& id) { return this->link.unreachable_since(id); });
    if (this->link.unreachable_groups().empty()) {
        this->looks.stop();
    }
}

} // namespace sailtiller
