// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/membership.h>

#include <functional>
#include <map>

namespace sailtiller {

/// Times of the table. Hosts ask each other in turns, so that a message is also a heartbeat.
struct host_table_settings
{
    /// A host that was not heard for this long counts as gone: five rounds of questions.
    duration heartbeat_timeout = std::chrono::milliseconds(1500);
    /// Hosts of other halls are asked at this interval, as bytes between halls are dear.
    duration other_hall_interval = std::chrono::milliseconds(500);
    /// One that is gone is asked again at this interval, as it may come back.
    duration down_host_interval = std::chrono::seconds(2);
    /// A host counts as new for this long after its start: the rush after all hosts were down is over by
    /// then.
    duration new_time = std::chrono::seconds(2);
    /// One that stays gone is forgotten.
    duration forget_timeout = std::chrono::seconds(60);
    /// Asked in one round; bounds the bytes of a large fleet.
    std::size_t max_queries_per_round = 8;
    /// Hosts that this one asks by turns, in two seconds at the most. In a larger fleet it hears of all
    /// others from these, so that turns, connections and messages don't grow with the fleet.
    std::size_t max_partners = 64;
    /// Of the partners, those of its own hall, as bytes between halls are dear.
    std::size_t partners_of_own_hall = 48;
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
    /// A host that has not answered a question for so long has gone, or will be heard in its next turn.
    duration answer_timeout = std::chrono::seconds(1);
    /// After this it is told to others as missed, while they answer.
    duration unreachable_timeout = std::chrono::milliseconds(1500);
    membership_settings members;
};

/// The hosts of the site as this one knows them: from their records in the store, from their own messages,
/// and from what they tell of each other. In a small fleet all hosts are partners, and each is judged by its
/// own messages.
class host_table
{
public:
    host_table(known_host self, host_table_settings settings);

    /// Its record was found.
    void add(const known_host& host, time_point now);
    /// It sent a message.
    void record_report(const peer_report& report, time_point now);
    /// Takes the states of all hosts that another one gave.
    void merge_states(const std::vector<host_state>& news, time_point now);
    /// Whom to ask in this round: partners in turn, and gone hosts from time to time. While this host is
    /// new, all live partners at each round.
    std::vector<known_host> select_hosts_to_query(time_point now);
    /// This host has started; until it has heard the others it knows nothing of their work.
    void note_start(time_point now) { this->started = now; }
    /// True for the first moments, in which much changes at once.
    [[nodiscard]] bool is_new(time_point now) const;
    /// Hosts that have a record but were not heard yet, a moment after this one learned of them: they may
    /// have started just now as well. In a large fleet reckoned from the partners.
    [[nodiscard]] std::size_t pending_host_count(time_point now) const;
    /// Hosts that were heard lately and are not leaving, this one included, in the order of their ids.
    [[nodiscard]] std::vector<known_host> live_hosts(time_point now) const;
    [[nodiscard]] std::size_t live_count(time_point now) const;
    /// Hosts that are there, this one included, heard or not: nearly the same on all hosts of any fleet.
    [[nodiscard]] std::vector<host_id> present_ids(time_point now) const;
    [[nodiscard]] std::size_t present_count(time_point now) const;
    /// Another host, as far as it is known; null if it isn't.
    [[nodiscard]] const known_host* find(const host_id& id) const;
    /// Hosts that were there within that time, leaving ones and this one included.
    [[nodiscard]] std::size_t recently_present_count(time_point now, duration within) const;
    /// All hosts that are known, this one included, gone ones for a while too.
    [[nodiscard]] std::size_t known_count() const { return 1 + this->members.others().size(); }
    /// This host's place among the live ones, from 0.
    [[nodiscard]] std::size_t own_rank(time_point now) const;
    /// True if this host, whose own reads the store answers or not, is one of those that read it for all: the
    /// first by their ids of the live hosts that the store answers, or of all live ones if it answers nobody.
    /// A host that lives may be cut off from the store for long; as a reader it would leave all others
    /// without a word from there.
    [[nodiscard]] bool is_reader(bool reads_store, time_point now) const;
    /// True if it may soon be one, as few hosts come before it.
    [[nodiscard]] bool is_reader_candidate() const { return this->members.is_reader_candidate(); }
    /// True if this host, whose own reads the store answers or not, should be in the store's group for the
    /// duties: one of the first by a hash, of the same hosts as for `is_reader`.
    [[nodiscard]] bool is_duty_candidate(bool reads_store, time_point now) const;
    /// Work of the other hosts at each upstream. In a large fleet only some of them are heard within the
    /// silence limit. The others are taken to do as much as those of the same kind on the average, hosts of
    /// its own hall or of another, unless they left a question unanswered.
    [[nodiscard]] std::map<upstream_id, upstream_work> sum_work(time_point now) const;
    /// Fills in what this host tells the other one of the fleet.
    void fill_report(peer_report& report, const host_id& receiver);
    /// What this host says of itself from now on.
    void set_own_state(bool is_leaving, bool reads_store)
    {
        this->members.set_own_state(is_leaving, reads_store);
    }
    /// True if the host that sent this report should be asked for the states of all hosts.
    bool should_ask_for_all(const peer_report& report, time_point now)
    {
        return this->members.note_digest(report.hosts_digest, now);
    }
    [[nodiscard]] std::vector<host_state> list_states() const { return this->members.list_all(); }
    /// The address that was bound, once it is known.
    void set_own_address(const endpoint& address) { this->members.set_own_address(address); }
    [[nodiscard]] const known_host& own() const { return this->members.own().host; }

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
        bool is_partner = false;
        bool is_leaving = false;
        bool reads_store = true;
        std::vector<upstream_work> work;
    };
    using member = membership::member;

    entry& find_or_add(const known_host& host, time_point now);
    /// True in a fleet so small that this host asks all others.
    [[nodiscard]] bool is_full_mesh() const
    {
        return this->members.others().size() <= this->settings.max_partners;
    }
    [[nodiscard]] std::size_t partner_count() const;
    /// Chooses whom this host asks, of the hosts that are there, by a hash: on each host in another way.
    void select_partners(time_point now);
    void select_partners_of_large_fleet(time_point now);
    /// Tells others of partners that left this host without an answer.
    void detect_unreachable_partners(time_point now);
    /// One that is gone, by turns; nothing if there is none.
    [[nodiscard]] std::optional<known_host> next_down_host();
    void forget_old(time_point now);
    [[nodiscard]] std::vector<entry*> list_due(time_point now);
    /// The entry, if this host judges by its own ears whether that host is there.
    [[nodiscard]] const entry* find_monitored(const host_id& id) const;
    [[nodiscard]] bool is_live(const entry& item, time_point now) const;
    /// The same within a time in which every partner is heard.
    [[nodiscard]] bool is_live_by_turns(const entry& item, time_point now) const;
    [[nodiscard]] duration ask_interval(const entry& item, time_point now) const;
    /// True if it was heard longer ago than the silence limit only because its turn has not come.
    [[nodiscard]] bool is_waiting_for_turn(const entry& item, time_point now) const;
    [[nodiscard]] bool is_present(const host_id& id, const member& known, time_point now) const;
    /// The same for a ranking; `is_watched`: this host watches those that come before it.
    [[nodiscard]] bool is_ranked(
        const host_id& id, const member& known, bool is_watched, time_point now) const;
    [[nodiscard]] bool reads_store(const host_id& id, const member& known) const;
    /// True if this host is one of the standbys, among all hosts that it has ever heard.
    [[nodiscard]] bool is_duty_standby() const;
    /// Of the hosts that the store answers, or of all if it answers nobody: how many come before this one, up
    /// to `enough`. Nothing if it answers others and not this one.
    [[nodiscard]] std::optional<std::size_t> rank_among_store_readers(bool reads_store, std::size_t enough,
        const std::function<bool(const host_id&, const member&)>& is_there,
        const std::function<bool(const host_id&)>& is_before) const;

    host_table_settings settings;
    membership members;
    std::map<host_id, entry> others; ///< partners, and hosts that were heard lately
    std::optional<std::uint64_t> partners_version; ///< of the members from which they were taken
    host_id last_down_host_queried;
    time_point last_round{};
    time_point awake_since{}; ///< this host has had its rounds in time since then
    std::optional<time_point> started;
};

} // namespace sailtiller
