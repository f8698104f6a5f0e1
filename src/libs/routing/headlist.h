// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/sitebundle.h>
#include <directory/upstreamdirectory.h>
#include <routing/engineloads.h>
#include <routing/headroom.h>

namespace sailtiller {

/// Lists the engines of a service that may lead a new request now, with their request slots. Slots that other
/// hosts use are as of their latest reports, those of this host as of now.
std::vector<head_slots> list_heads(const engine_profile& profile, const service_id& service,
    const upstream_directory& directory, const engine_loads& loads, const data_hall_id& own_hall,
    time_point now);

} // namespace sailtiller
