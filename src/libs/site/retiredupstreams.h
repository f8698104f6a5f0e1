// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace sailtiller {

/// Upstream starts known to have ended or to be leaving although the store may list them as ready: after a
/// restore from a copy, the store has their old entries, and no process rewrites those of ended upstreams.
/// Without this record, hosts used an upstream that had ended seconds before (seven hosts under a paused
/// clock).
class retired_upstreams
{
public:
    /// A copy is some seconds old, and the store removes an entry that is not rewritten for three heartbeats.
    static constexpr duration retention = std::chrono::seconds(60);
    /// Maximum number of leaving notices kept. A site is designed for at most 3,000 engines.
    static constexpr std::size_t max_leaving_notices = 4096;

    /// Records that the upstream's entry was removed from the store.
    void note_ended(const upstream_id& id, time_point now) { this->ended[id] = now; }
    /// Records that the upstream was leaving when the store's new history began.
    void note_leaving(const upstream_id& id) { this->leaving.insert(id); }
    /// Records a leaving notice of the upstream, which holds whatever its entry says. Returns whether it is
    /// new.
    bool record_leaving_notice(const upstream_id& id, time_point now);
    /// Records that the upstream has written its entry, which is valid from now on.
    void record_entry_written(const upstream_id& id);
    /// Called when the store was restored from a copy.
    void begin_history(time_point now);
    /// Drops records that can no longer reappear in the store. Leaving notices are kept for as long as the
    /// upstream is listed.
    void forget_old(const std::function<bool(const upstream_id&)>& is_listed, time_point now);

    [[nodiscard]] bool has_ended(const upstream_id& id) const;
    [[nodiscard]] bool was_leaving(const upstream_id& id) const { return this->leaving.count(id) != 0; }
    [[nodiscard]] bool has_leaving_notice(const upstream_id& id) const
    {
        return this->leaving_notices.count(id) != 0;
    }
    /// Returns the upstreams of the latest leaving notices, at most `most`.
    [[nodiscard]] std::vector<upstream_id> latest_leaving_notices(std::size_t most) const;

private:
    /// Times of a leaving notice.
    struct leaving_notice
    {
        time_point heard{};
        time_point listed{}; ///< last time in the list, or the time of the notice
    };

    std::map<upstream_id, time_point> ended; ///< with the time when the end became known
    std::set<upstream_id> leaving;
    std::map<upstream_id, leaving_notice> leaving_notices;
    time_point history_begun{}; ///< zero if the store was never restored from a copy
};

} // namespace sailtiller
