// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <optional>
#include <unordered_map>

namespace sailtiller {

/// Bounds of what a host remembers of pauses.
struct upstream_pauses_settings
{
    /// At most so many upstreams; 3,000 engines are the most that a site is designed for.
    std::size_t most_records = 4096;
    duration longest_pause = std::chrono::hours(24); ///< a longer one counts as this long
};

/// The upstreams that asked this host to send them nothing for a while. A pause ends by its time alone:
/// neither what else is heard of the upstream nor a gap in its entry ends it sooner.
class upstream_pauses
{
public:
    explicit upstream_pauses(upstream_pauses_settings settings = {})
        : settings(settings)
    {
    }

    /// The upstream refused a request with this wish, which came now. One that ends later stays.
    void note(const upstream_id& id, duration pause, time_point now);
    /// When the upstream's pause ends; nothing if it has none now.
    [[nodiscard]] std::optional<time_point> end_of(const upstream_id& id, time_point now) const;
    [[nodiscard]] bool is_paused(const upstream_id& id, time_point now) const;
    [[nodiscard]] std::size_t paused_count(time_point now) const;
    /// True if nothing is remembered.
    [[nodiscard]] bool is_empty() const { return this->ends.empty(); }
    /// Forgets pauses that are over.
    void remove_expired(time_point now);

private:
    void evict_if_full(time_point now);

    upstream_pauses_settings settings;
    std::unordered_map<upstream_id, time_point> ends;
};

} // namespace sailtiller
