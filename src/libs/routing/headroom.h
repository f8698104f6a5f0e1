// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>
#include <base/random.h>

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sailtiller {

/// Time constants and thresholds of the choice of heads. docs/design/head-choice.md says what they bound.
struct headroom_settings
{
    /// Share of the slots of all heads that must be in use, or come into use within the age of reports,
    /// before the choice depends on slots.
    double noticeable_use = 0.5;
    /// Share of a head's slots that is filled. The rest absorbs what hosts can't know of each other, so that
    /// requests don't queue at the head.
    double target_use = 0.95;
    /// Time over which free slots are handed out: the maximum age of reports between hosts. Within less, all
    /// hosts would fill the same slots before they know of each other.
    duration spread_time = std::chrono::seconds(2);
    /// Usual age of reports.
    duration report_age = std::chrono::seconds(1);
    /// Entitlement that a host may save, as a share of that of one spread time, and in requests at least.
    double saved_share = 0.5;
    double min_saved = 3;
    /// Time over which a host's share of the requests is averaged: several requests per host of a large
    /// fleet.
    duration share_memory = std::chrono::seconds(10);
    /// Requests that each host counts as having in addition when shares are computed, so that a host with few
    /// has a share too.
    double assumed_requests = 8;
    /// Time over which the room of a new or returned head comes into use: some rounds of reports.
    duration slow_start = std::chrono::seconds(1);
    /// A head that was unusable for this long starts slowly again. A pause after a refusal is shorter.
    duration absence = std::chrono::milliseconds(500);
};

/// Request slots of an engine that may lead a request.
struct head_slots
{
    upstream_id id;
    double slots = 0;
    double used = 0; ///< by requests of all hosts, as far as this host knows
    double own = 0; ///< of these, by requests of this host
    bool is_near = true; ///< in the host's data hall
};

/// Result of the choice of a head.
struct head_choice
{
    bool is_bound = false; ///< false: slots are hardly used, and any head may lead the request
    std::optional<upstream_id> head; ///< empty while bound: no head has a slot left for this host
};

/// Chooses the heads of a host's requests while request slots are scarce, so that all hosts together send
/// each head about as many requests as it has slots that are free or become free, without a server and with
/// counts of the other hosts that are up to seconds old.
///
/// Each host is entitled to a share of the room of all heads, by its share of the requests that run; the
/// shares of all hosts sum to one. The entitlement accrues over the age of reports, own sends are taken off,
/// and fractions are rounded at random. The heads take turns in proportion to the room of each, beginning at
/// random, so that each host keeps to its share at each head.
class headroom
{
public:
    explicit headroom(random_function random, headroom_settings settings = {})
        : settings(settings)
        , random(std::move(random))
    {
    }

    /// Sets the number of live hosts, this one included, and the share of them in this host's data hall.
    void set_live_hosts(std::size_t count, double near_share);
    /// Records all heads that may lead requests now. Called in each round of reports.
    void note_round(const std::vector<head_slots>& heads, time_point now);
    /// Chooses among all heads that may lead a request now. With `may_exceed`, a head is also given without
    /// entitlement; it is then owed.
    [[nodiscard]] head_choice choose(
        const std::vector<head_slots>& heads, time_point now, bool may_exceed = false);
    /// Records that a request was sent to a head.
    void note_sent();
    /// Records for how long a request of this host has used its slot.
    void note_ended(duration use_time);

private:
    /// What the rounds of reports showed of a head.
    struct seen_head
    {
        time_point since{}; ///< begin of its present time of use
        time_point last{}; ///< round in which it was last usable
        double lasting_use = 0; ///< used slots, averaged over the mean time of use
    };
    /// Requests as of one round.
    struct round_counts
    {
        time_point at{};
        double own = 0;
        double all = 0;
    };

    void note_head(const head_slots& head, time_point now);
    void note_counts(const round_counts& present);
    /// Returns the slots that are free now or become free within the spread time.
    [[nodiscard]] double room_of(const head_slots& head, time_point now) const;
    void accrue(double room, time_point now);
    [[nodiscard]] upstream_id pick(const std::vector<head_slots>& heads, const std::vector<double>& rooms);

    headroom_settings settings;
    random_function random;
    double live_hosts = 1;
    double near_hosts_share = 1;
    std::optional<duration> mean_use; ///< time for which a request uses its slot
    std::int64_t ended_count = 0; ///< requests in `mean_use`
    std::optional<time_point> last_round;
    std::unordered_map<upstream_id, seen_head> seen;
    std::deque<round_counts> rounds; ///< of the last second
    double growth = 0; ///< relative growth of all hosts' requests within the age of reports, at most 1
    double own_mean = 0; ///< requests of this host, averaged over `share_memory`
    double all_mean = 0; ///< requests of all hosts, likewise
    double left = 1; ///< entitlement, in requests; negative if more were sent
    double entitled = 0; ///< entitlement within the spread time, in requests
    double threshold = 0; ///< a request may be sent once this much is left; random, in [0, 1)
    std::optional<time_point> drawn; ///< time at which the threshold was drawn
    std::optional<time_point> updated; ///< time of the last accrual
    std::unordered_map<upstream_id, double> due; ///< requests by which each head is behind its turn
};

} // namespace sailtiller
