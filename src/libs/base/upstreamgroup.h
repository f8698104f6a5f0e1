// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

namespace sailtiller {

/// The upstreams of one service in one data hall: what a host loses together when it loses its way there.
struct upstream_group
{
    service_id service;
    data_hall_id data_hall;

    auto operator<=>(const upstream_group&) const = default;
};

} // namespace sailtiller
