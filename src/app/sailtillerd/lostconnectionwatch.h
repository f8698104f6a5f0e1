// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "upstreamlink.h"

#include <gateway/gatewayservice.h>

namespace sailtiller {

/// Moves streams off connections that were lost with the way to their upstreams.
class lost_connection_watch
{
public:
    lost_connection_watch(event_loop& loop, upstream_link& link, gateway_service& gateway);

    /// Looks again and again while upstreams are unreachable.
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
