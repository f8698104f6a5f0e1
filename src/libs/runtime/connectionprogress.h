// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>

namespace sailtiller {

/// What has passed over a connection since it was made, as the system counts it.
struct connection_progress
{
    std::uint64_t received_bytes = 0;
    std::uint64_t acknowledged_bytes = 0; ///< of what this side has sent
};

/// Empty where the system doesn't tell.
std::optional<connection_progress> read_connection_progress(int descriptor);

} // namespace sailtiller
