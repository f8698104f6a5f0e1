// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <optional>
#include <unordered_map>

namespace sailtiller {

/// Limits of the pauses that a host keeps.
struct upstream_pauses_settings
{
    /// Maximum number of upstreams; a site is designed for up to 3,000 engines.
    std::size_t most_records = 4096;
    duration longest_pause = std::chrono::hours(24); ///< longer pauses are cut to this
};

/// Upstreams that asked this host to send them nothing for some time. A pause ends by its time alone; neither
/// reports about the upstream nor a missing entry end it earlier.
class upstream_pauses
{
public:
    explicit upstream_pauses(upstream_pauses_settings settings = {})
        : settings(settings)
    {
    }

    /// Notes a pause that an upstream asked for at `now` when it refused a request. A pause that ends later
    /// is kept.
    void note(const upstream_id& id, duration pause, time_point now);
    /// Returns the end of the upstream's pause, or nothing if it is not paused.
    [[nodiscard]] std::optional<time_point> end_of(const upstream_id& id, time_point now) const;
    [[nodiscard]] bool is_paused(const upstream_id& id, time_point now) const;
    [[nodiscard]] std::size_t paused_count(time_point now) const;
    /// Returns whether no pauses are kept, expired ones included.
    [[nodiscard]] bool is_empty() const { return this->ends.empty(); }
    /// Removes pauses that are over.
    void remove_expired(time_point now);

private:
    /// Makes room for one more pause by removing expired ones or, if there are none, the one that ends first.
    void evict_if_full(time_point now);

    upstream_pauses_settings settings;
    std::unordered_map<upstream_id, time_point> ends;
};

} // namespace sailtiller
