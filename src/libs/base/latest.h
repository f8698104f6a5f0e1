// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace sailtiller {

/// Keeps the `most` latest of the records, the latest first; `moment_of` gives the moment of one.
template <typename Record, typename MomentOf>
void keep_latest(std::vector<const Record*>& records, std::size_t most, const MomentOf& moment_of)
{
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(std::min(most, records.size()));
    std::partial_sort(records.begin(), end, records.end(),
        [&moment_of](const auto* left, const auto* right) { return moment_of(*left) > moment_of(*right); });
    records.erase(end, records.end());
}

} // namespace sailtiller
