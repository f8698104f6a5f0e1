// SPDX-License-Identifier: Apache-2.0
#include "lostconnectionwatch.h"

namespace sailtiller {

namespace {

constexpr duration look_interval = std::chrono::milliseconds(50);

} // namespace

lost_connection_watch::lost_connection_watch(event_loop& loop, upstream_link& link, gateway_service& gateway)
    : loop(loop)
    , link(link)
    , gateway(gateway)
{
}

void lost_connection_watch::watch()
{
    if (!this->is_watching) {
        this->is_watching = true;
        this->schedule_look();
    }
}

void lost_connection_watch::schedule_look()
{
    this->loop.schedule_after(look_interval, [this] { this->look(); });
}

void lost_connection_watch::look()
{
    this->gateway.leave_lost_connections(
        [this](const upstream_id& id) { return this->link.unreachable_since(id); });
    this->is_watching = !this->link.unreachable_groups().empty();
    if (this->is_watching) {
        this->schedule_look();
    }
}

} // namespace sailtiller
