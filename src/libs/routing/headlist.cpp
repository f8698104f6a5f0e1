// SPDX-License-Identifier: Apache-2.0
#include <routing/headlist.h>

namespace sailtiller {

std::vector<head_slots> list_heads(const engine_profile& profile, const service_id& service,
    const upstream_directory& directory, const engine_loads& loads, const data_hall_id& own_hall,
    time_point now)
{
    std::vector<head_slots> heads;
    for (const auto& [id, entry] : directory.entries()) {
        const discovered_upstream& upstream = entry.upstream;
        const engine_load& load = loads.of(id);
        const bool may_lead = upstream.service == service && upstream.held.holds(0) && !upstream.is_leaving
            && profile.find_card(upstream.card, upstream.held.end) != nullptr && load.accepts_requests(now);
        if (may_lead) {
            heads.push_back({id, static_cast<double>(profile.request_slots), loads.total_led(load),
                static_cast<double>(load.led), upstream.data_hall == own_hall});
        }
    }
    return heads;
}

} // namespace sailtiller
