// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "upstreamlink.h"

#include <gateway/gatewayservice.h>

namespace sailtiller {

/// Moves streams off connections that were lost with the way to their upstreams, and ends calls by way of
/// hosts that have fallen silent, which outlive the return of the way.
class lost_connection_watch
{
public:
    lost_connection_watch(event_loop& loop, upstream_link& link, gateway_service& gateway);

    /// Looks again and again while upstreams are unreachable or calls are under way by way of other hosts.
    void watch();

private:
    void schedule_look();
    void look();

    event_loop& loop;
    upstream_link& link;
    gateway_service& gateway;
    bool is_watching = false;
};

} // namespace sailtiller
