// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/peerreport.h>

#include <functional>
#include <map>

namespace sailtiller {

/// Times of the table. All hosts ask each other in turns, so that a message is also a heartbeat.
struct host_table_settings
{
    /// A host that was not heard for this long counts as gone: five rounds of questions.
    duration silence_limit = std::chrono::milliseconds(1500);
    /// Hosts of other halls are asked at this interval, as bytes between halls are dear.
    duration other_hall_interval = std::chrono::milliseconds(500);
    /// One that is gone is asked again at this interval, as it may come back.
    duration gone_interval = std::chrono::seconds(2);
    /// A host counts as new for this long after its start: the rush after all hosts were down is over by
    /// then.
    duration new_time = std::chrono::seconds(2);
    /// One that stays gone is forgotten.
    duration forget_after = std::chrono::seconds(60);
    /// Asked in one round; bounds the bytes of a large fleet.
    std::size_t most_asked = 8;
    duration round_interval = std::chrono::milliseconds(250); ///< between two rounds of questions
    /// The hosts that read the store for all; a second one covers the time until the first is missed.
    std::size_t reader_count = 2;
    /// The hosts that stay in the store's group for the site's duties, by a hash of their ids, so that they
    /// stand in several halls. Each joins it 1.7 times a second: 295 hosts that all did made half of the
    /// 104 calls a second, by price, of a day without faults.
    std::size_t duty_candidates = 3;
    /// Those that come first by the same hash watch the ones before them, so that they see within the
    /// silence limit when all candidates are lost at once. The others hear of it in turn.
    std::size_t duty_standbys = 8;
    /// Hosts that one report names. With all 295 the lists were over half of the bytes between hosts; a host
    /// that starts reads them all from the store, and asks the others.
    std::size_t most_told = 12;
    /// A host that has not answered a question for so long has gone, or will be heard in its next turn.
    duration unanswered_limit = std::chrono::seconds(1);
};

/// The hosts of the site as this one knows them: from their records in the store, from their own messages,
/// and from what they tell of each other.
class host_table
{
public:
    host_table(known_host self, host_table_settings settings)
        : self(std::move(self))
        , settings(settings)
    {
    }

    /// Another host named it, or its record was found.
    void add(const known_host& host, time_point now);
    /// It sent a message.
    void note_heard(const peer_report& report, time_point now);
    /// Whom to ask in this round: live hosts in turn, and gone ones from time to time. While this host is
    /// new, all live ones at each round.
    std::vector<known_host> choose_asked(time_point now);
    /// This host has started; until it has heard the others it knows nothing of their work.
    void note_start(time_point now) { this->started = now; }
    /// True for the first moments, in which much changes at once.
    [[nodiscard]] bool is_new(time_point now) const;
    /// Hosts that have a record but were not heard yet, a moment after this one learned of them: they may
    /// have started just now as well.
    [[nodiscard]] std::size_t unheard_count(time_point now) const;
    /// Hosts that were heard lately and are not leaving, this one included, in the order of their ids.
    [[nodiscard]] std::vector<known_host> live_hosts(time_point now) const;
    [[nodiscard]] std::size_t live_count(time_point now) const { return this->live_hosts(now).size(); }
    /// Live hosts, this one included, and those that only have not had their turn; nearly the same on all
    /// hosts, also of a large fleet.
    [[nodiscard]] std::vector<host_id> present_ids(time_point now) const;
    [[nodiscard]] std::size_t present_count(time_point now) const;
    /// Another host, as far as it is known; null if it isn't.
    [[nodiscard]] const known_host* find(const host_id& id) const;
    /// Hosts that were heard within that time, leaving ones and this one included.
    [[nodiscard]] std::size_t heard_count(time_point now, duration within) const;
    /// This host's place among the live ones, from 0.
    [[nodiscard]] std::size_t own_rank(time_point now) const;
    /// True if this host, whose own reads the store answers or not, is one of those that read it for all: the
    /// first by their ids of the live hosts that the store answers, or of all live ones if it answers nobody.
    /// A host that lives may be cut off from the store for long; as a reader it would leave all others
    /// without a word from there. A host of a large fleet is heard in turn with all others: of 300 hosts, 100
    /// thought so of themselves when those not heard for 1.5 s counted as gone.
    [[nodiscard]] bool is_reader(bool reads_store, time_point now) const;
    /// True if this host, whose own reads the store answers or not, should be in the store's group for the
    /// duties: one of the first by a hash, of the same hosts as for `is_reader`.
    [[nodiscard]] bool is_duty_candidate(bool reads_store, time_point now) const;
    /// Live hosts for the report of this round: all in small fleets, in a large one some of them by turns.
    [[nodiscard]] std::vector<known_host> hosts_to_tell(std::size_t round, time_point now) const;
    /// Work of the other hosts at each upstream. In a large fleet only some of them are heard within the
    /// silence limit: of 295, a third. The others are taken to do as much on the average, unless they left a
    /// question unanswered.
    [[nodiscard]] std::map<upstream_id, upstream_work> sum_work(time_point now) const;
    /// The address that was bound, once it is known.
    void set_own_address(const endpoint& address) { this->self.address = address; }
    [[nodiscard]] const known_host& own() const { return this->self; }

private:
    struct entry
    {
        known_host host;
        std::optional<time_point> heard;
        time_point added{};
        time_point asked{};
        /// Orders those that are due at once, on each host in another way: when all hosts ask the same ones
        /// in the same round, what one of them knows goes round no faster than the turns.
        std::uint64_t turn = 0;
        std::uint64_t duty_order = 0; ///< the same on each host
        bool is_leaving = false;
        bool reads_store = true;
        std::vector<upstream_work> work;
    };

    entry& find_or_add(const host_id& id);
    [[nodiscard]] bool is_live(const entry& item, time_point now) const;
    /// The same within a time in which every live host of a fleet of this size is heard.
    [[nodiscard]] bool is_heard_in_turn(const entry& item, time_point now) const;
    [[nodiscard]] duration ask_interval(const entry& item, time_point now) const;
    /// True if it was heard longer ago than the silence limit only because its turn has not come.
    [[nodiscard]] bool awaits_turn(const entry& item, time_point now) const;
    [[nodiscard]] bool is_present(const entry& item, time_point now) const;
    [[nodiscard]] std::uint64_t own_duty_order() const;
    /// True if this host is one of the standbys, among all hosts that it has ever heard.
    [[nodiscard]] bool is_duty_standby() const;
    /// Of the hosts that the store answers, or of all if it answers nobody: how many come before this one.
    /// Nothing if it answers others and not this one.
    [[nodiscard]] std::optional<std::size_t> rank_at_store(bool reads_store,
        const std::function<bool(const entry&)>& is_present,
        const std::function<bool(const entry&)>& is_before) const;

    known_host self;
    host_table_settings settings;
    std::map<host_id, entry> others;
    std::optional<time_point> started;
};

} // namespace sailtiller
