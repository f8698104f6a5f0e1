// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <optional>
#include <string_view>
#include <vector>

namespace sailtiller {

/// Returns the hosts ranked as owners of a key by rendezvous hashing: the first one owns it, the next ones
/// take over when it is down. When a host leaves, only the keys that it owned move.
std::vector<host_id> rank_owners(std::string_view key, const std::vector<host_id>& live_hosts);
/// True if fewer than `count` hosts are ranked before this one for the key.
bool is_among_owners(
    std::string_view key, const std::vector<host_id>& live_hosts, const host_id& self, std::size_t count);
/// The first of `rank_owners`, without sorting; empty if there is no live host.
std::optional<host_id> find_owner(std::string_view key, const std::vector<host_id>& live_hosts);

} // namespace sailtiller
