// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "upstreamlink.h"

#include <gateway/gatewayservice.h>
#include <runtime/periodictask.h>

namespace sailtiller {

/// Moves streams off connections that were lost with the way to their upstreams.
class lost_connection_watch
{
public:
    lost_connection_watch(event_loop& loop, upstream_link& link, gateway_service& gateway);

    /// Looks again and again while upstreams are unreachable.
    void watch();

private:
    void look();

    upstream_link& link;
    gateway_service& gateway;
    periodic_task looks;
};

} // namespace sailtiller
