// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/sitebundle.h>
#include <directory/upstreamdirectory.h>

namespace sailtiller {

/// Number of layers of the pool's model without a holder in each hall that has engines of the pool. Streams
/// of a hall with missing layers use the pipe to another hall.
std::map<data_hall_id, unsigned> count_missing_layers(
    const upstream_pool& pool, const upstream_directory& directory);

} // namespace sailtiller
