// SPDX-License-Identifier: Apache-2.0
#include <placement/missinglayers.h>

#include <algorithm>

namespace sailtiller {

std::map<data_hall_id, unsigned> count_missing_layers(
    const upstream_pool& pool, const upstream_directory& directory)
{
    std::map<data_hall_id, unsigned> missing;
    if (!pool.engine) {
        return missing;
    }
    std::map<data_hall_id, std::vector<bool>> held;
    for (const auto& [id, entry] : directory.entries()) {
        const discovered_upstream& upstream = entry.upstream;
        if (upstream.service != pool.name
            || pool.engine->find_card(upstream.card, upstream.held.end) == nullptr) {
            continue;
        }
        std::vector<bool>& layers =
            held.try_emplace(upstream.data_hall, pool.engine->layers, false).first->second;
        for (unsigned layer = upstream.held.begin; layer < upstream.held.end; ++layer) {
            layers[layer] = true;
        }
    }
    for (const auto& [hall, layers] : held) {
        missing[hall] = static_cast<unsigned>(std::count(layers.begin(), layers.end(), false));
    }
    return missing;
}

} // namespace sailtiller
