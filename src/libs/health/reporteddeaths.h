// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <optional>

namespace sailtiller {

/// Reports of other hosts about dead upstreams. A single report may only mean that the reporter lost its
/// connectivity, so two are needed if there are enough hosts.
class reported_deaths
{
public:
    /// Records that a host reports the upstream dead until `until`, unless it renews the report. Returns
    /// until when the upstream counts as dead; empty if too few hosts report it.
    std::optional<time_point> note(
        const upstream_id& id, const host_id& reporter, time_point until, time_point now);
    /// Drops all reports about an upstream that gave a sign of life.
    void clear(const upstream_id& id) { this->reports.erase(id); }
    /// Sets the number of live hosts, including this one.
    void set_live_hosts(std::size_t count) { this->live_hosts = count; }
    void forget(const std::function<bool(const upstream_id&)>& is_known);

private:
    [[nodiscard]] std::size_t reports_needed() const;

    std::map<upstream_id, std::map<host_id, time_point>> reports; ///< expiry of the report of each host
    std::size_t live_hosts = 1;
};

} // namespace sailtiller
