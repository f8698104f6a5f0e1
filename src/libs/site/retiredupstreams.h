// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace sailtiller {

/// Starts of upstreams that are known to have ended or to leave, though the store may name them as ready:
/// when it comes back from a copy, it has their entries from before, and nobody writes those of ended ones
/// again. Without this memory, hosts used one that had ended seconds before (seven hosts under a paused
/// clock).
class retired_upstreams
{
public:
    /// A copy is some seconds old, and the store drops an entry that nobody writes after three heartbeats.
    static constexpr duration retention = std::chrono::seconds(60);
    /// Upstreams that said they leave: at most so many are remembered. 3,000 engines are the most that a site
    /// is designed for.
    static constexpr std::size_t max_leaving_notices = 4096;

    /// The upstream's entry is gone from the store.
    void note_ended(const upstream_id& id, time_point now) { this->ended[id] = now; }
    /// It was leaving when the store's new history began.
    void note_leaving(const upstream_id& id) { this->leaving.insert(id); }
    /// It said in an answer that it leaves, whatever its entry says. Returns whether that is news.
    bool record_leaving_notice(const upstream_id& id, time_point now);
    /// It has written its entry, so what that says holds.
    void record_entry_written(const upstream_id& id);
    /// The store has come back from a copy.
    void begin_history(time_point now);
    /// Forgets what can't come back any more. Who said that it leaves is remembered for as long as it is
    /// listed.
    void forget_old(const std::function<bool(const upstream_id&)>& is_listed, time_point now);

    [[nodiscard]] bool has_ended(const upstream_id& id) const;
    [[nodiscard]] bool was_leaving(const upstream_id& id) const { return this->leaving.count(id) != 0; }
    [[nodiscard]] bool has_leaving_notice(const upstream_id& id) const
    {
        return this->leaving_notices.count(id) != 0;
    }
    /// The latest of those that said so, at most `most`.
    [[nodiscard]] std::vector<upstream_id> latest_leaving_notices(std::size_t most) const;

private:
    /// A word of an upstream that it leaves.
    struct leaving_notice
    {
        time_point heard{};
        time_point listed{}; ///< last seen in the list, or heard
    };

    std::map<upstream_id, time_point> ended; ///< and when that was known
    std::set<upstream_id> leaving;
    std::map<upstream_id, leaving_notice> leaving_notices;
    time_point history_begun{}; ///< the clock's zero if the store never came back from a copy
};

} // namespace sailtiller
