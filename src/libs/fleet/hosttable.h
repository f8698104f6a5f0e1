// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/membership.h>

#include <functional>
#include <map>

namespace sailtiller {

/// Intervals and bounds of the host table. Hosts query each other in turn; each message also serves as a
/// heartbeat.
struct host_table_settings
{
    /// A host that sent no message for this long is not live: five rounds of queries.
    duration heartbeat_timeout = std::chrono::milliseconds(1500);
    /// Interval of queries to hosts of other halls; traffic between halls is expensive.
    duration other_hall_interval = std::chrono::milliseconds(500);
    /// Interval of queries to hosts that are down, which may return.
    duration down_host_interval = std::chrono::seconds(2);
    /// A host counts as new for this long after its start, which covers the burst of changes when all hosts
    /// start at once.
    duration new_time = std::chrono::seconds(2);
    /// A host that stays down is removed after this time.
    duration forget_timeout = std::chrono::seconds(60);
    /// Queries in one round; bounds the traffic of a large fleet.
    std::size_t max_queries_per_round = 8;
    /// Hosts that this host queries in turn, each within two seconds. In a larger fleet the state of all
    /// other hosts comes through these partners, so that turns, connections and messages don't grow with the
    /// fleet.
    std::size_t max_partners = 64;
    /// Partners from this host's own hall; traffic between halls is expensive.
    std::size_t partners_of_own_hall = 48;
    duration round_interval = std::chrono::milliseconds(250); ///< between two rounds of queries
    /// Number of hosts that read the store on behalf of all; the second one covers the time until a failure
    /// of the first is detected.
    std::size_t reader_count = 2;
    /// Number of hosts that stay in the store's group for the site's duties, selected by a hash of their ids
    /// so that they are spread over several halls. Each rejoins the group 1.7 times a second; with all of 295
    /// hosts as members this made up half of the 104 calls a second (weighted by price) of a day without
    /// faults.
    std::size_t duty_candidates = 3;
    /// The first hosts by the same hash monitor those ranked before them and detect within the heartbeat
    /// timeout that all candidates are lost at once. The other hosts learn of it in turn.
    std::size_t duty_standbys = 8;
    /// A host that leaves a query unanswered for this long no longer counts as waiting for its turn.
    duration answer_timeout = std::chrono::seconds(1);
    /// After this time a host that doesn't answer is reported as unreachable, provided that other hosts
    /// answer.
    duration unreachable_timeout = std::chrono::milliseconds(1500);
    /// Relaying hosts that a report of a large fleet names to a host that has lost its way to upstreams. All
    /// of its partners may have lost theirs; it sends and receives some thirty reports a second.
    std::size_t max_relaying_hosts_per_report = 4;
    membership_settings members;
};

/// The hosts of the site as known to this host: from their records in the store, from their own messages, and
/// from what they report of each other. In a small fleet all hosts are partners, and the state of each is
/// taken from its own messages.
class host_table
{
public:
    host_table(known_host self, host_table_settings settings);

    /// Adds a host whose record was found in the store.
    void add(const known_host& host, time_point now);
    /// Records a report received from a host.
    void record_report(const peer_report& report, time_point now);
    /// Merges the states of all hosts as received from another host.
    void merge_states(const std::vector<host_state>& news, time_point now);
    /// Returns the hosts to query in this round: partners in turn, and hosts that are down from time to time.
    /// While this host is new, all live partners in each round.
    std::vector<known_host> select_hosts_to_query(time_point now);
    /// Records the start of this host, which doesn't know the work of others before their first reports.
    void note_start(time_point now) { this->started = now; }
    /// True shortly after the start, while many states change at once.
    [[nodiscard]] bool is_new(time_point now) const;
    /// Number of hosts that have a record but have sent no report yet and were added recently, so that they
    /// may be starting too. In a large fleet estimated from the partners.
    [[nodiscard]] std::size_t pending_host_count(time_point now) const;
    /// Hosts heard within the heartbeat timeout that are not leaving, this one included, ordered by id.
    [[nodiscard]] std::vector<known_host> live_hosts(time_point now) const;
    [[nodiscard]] std::size_t live_count(time_point now) const;
    /// Hosts that are up, this one included, also those that this host doesn't hear directly; nearly the same
    /// on all hosts whatever the size of the fleet.
    [[nodiscard]] std::vector<host_id> present_ids(time_point now) const;
    /// Returns the share of these hosts that is in this host's data hall.
    [[nodiscard]] double present_share_of_own_hall(time_point now) const;
    [[nodiscard]] std::size_t present_count(time_point now) const;
    /// Returns another host, or null if it is unknown.
    [[nodiscard]] const known_host* find(const host_id& id) const;
    /// Number of hosts that were up within that time, leaving hosts and this one included.
    [[nodiscard]] std::size_t recently_present_count(time_point now, duration within) const;
    /// Number of known hosts, this one included, and those that went down recently.
    [[nodiscard]] std::size_t known_count() const { return 1 + this->members.others().size(); }
    /// Rank of this host among the live ones, from 0.
    [[nodiscard]] std::size_t own_rank(time_point now) const;
    /// True if this host reads the store on behalf of all: it is among the first by id of the live hosts that
    /// the store answers, or of all live hosts if it answers none. `reads_store`: the store answers this
    /// host. A live host may be cut off from the store for long; as a reader it would leave all others
    /// without data from the store.
    [[nodiscard]] bool is_reader(bool reads_store, time_point now) const;
    /// True if this host may soon become a reader, as few hosts are ranked before it.
    [[nodiscard]] bool is_reader_candidate() const { return this->members.is_reader_candidate(); }
    /// True if this host should be in the store's group for the duties: it is among the first by a hash, of
    /// the same hosts as for `is_reader`.
    [[nodiscard]] bool is_duty_candidate(bool reads_store, time_point now) const;
    /// Work of the other hosts at each upstream. In a large fleet only some of them report within the
    /// heartbeat timeout. The others, unless they left a query unanswered, are estimated by the average of
    /// those that reported, separately for this host's own hall and for the other halls.
    [[nodiscard]] std::map<upstream_id, upstream_work> sum_work(time_point now) const;
    /// Load of the engines' service by the requests of the other hosts, estimated like their work.
    [[nodiscard]] load_summary sum_load(time_point now) const;
    /// Returns the hosts that relay requests to the group and reach it, as far as this host hears them or, in
    /// a large fleet, as others tell it.
    [[nodiscard]] std::vector<relaying_host> list_relaying_hosts(
        const upstream_group& group, time_point now) const;
    /// Records that a host can't connect to a group; valid until a newer report of it.
    void note_unreachable_group(const host_id& id, const upstream_group& group, time_point now);
    /// Number of hosts that report groups of upstreams to which they can't connect.
    [[nodiscard]] std::size_t count_hosts_with_unreachable(time_point now) const;
    /// Returns true unless the host counts as gone, leaving or not: by the age of its own reports, or by what
    /// others tell of a host that is no partner.
    [[nodiscard]] bool is_alive(const host_id& id, time_point now) const;
    /// Returns true if a known host has this internet address, on any port.
    [[nodiscard]] bool has_host_at(const endpoint& address) const;
    /// Fills in the fleet's state for a report to the receiver.
    void fill_report(peer_report& report, const host_id& receiver, time_point now);
    /// Sets the state that this host reports of itself.
    void set_own_state(bool is_leaving, bool reads_store)
    {
        this->members.set_own_state(is_leaving, reads_store);
    }
    /// True if the sender of this report should be queried for the states of all hosts.
    bool should_ask_for_all(const peer_report& report, time_point now)
    {
        return this->members.note_digest(report.hosts_digest, now);
    }
    [[nodiscard]] std::vector<host_state> list_states() const { return this->members.list_all(); }
    /// Sets the bound address once it is known.
    void set_own_address(const endpoint& address) { this->members.set_own_address(address); }
    [[nodiscard]] const known_host& own() const { return this->members.own().host; }

private:
    struct entry
    {
        known_host host;
        std::optional<time_point> heard;
        time_point added{};
        time_point asked{};
        /// Orders hosts that are due at the same time, differently on each host: if all hosts queried the
        /// same ones in the same round, an update would spread no faster than the turns.
        std::uint64_t turn = 0;
        bool is_partner = false;
        bool is_leaving = false;
        bool reads_store = true;
        std::vector<upstream_work> work;
        load_summary load;
        std::optional<endpoint> relay_address;
        unsigned relayed_calls = 0;
        std::vector<upstream_group> unreachable;
    };
    using member = membership::member;

    /// Calls `visit` for each other host that is up, with its entry if it reported recently, otherwise null.
    void visit_up_hosts(
        const std::function<void(const known_host&, const entry* heard)>& visit, time_point now) const;

    /// What is known of a relaying host, without a copy.
    struct relaying_host_view
    {
        const known_host& host;
        const endpoint& relay_address;
        unsigned relayed_calls = 0;
        const std::vector<upstream_group>& unreachable;
        duration age{};

        [[nodiscard]] relaying_host copy() const
        {
            return {this->host, this->relay_address, this->relayed_calls, this->unreachable, this->age};
        }
    };
    /// A relaying host that this one knows from other hosts.
    struct told_relaying_host
    {
        relaying_host item;
        time_point heard{}; ///< when it reported that state
    };

    entry& find_or_add(const known_host& host, time_point now);
    void merge_state(const host_state& news, membership::propagation use, time_point now);
    /// True in a fleet so small that this host queries all others.
    [[nodiscard]] bool is_full_mesh() const
    {
        return this->members.others().size() <= this->settings.max_partners;
    }
    [[nodiscard]] std::size_t partner_count() const;
    /// Selects the partners from the hosts that are up by a hash that differs from host to host.
    void select_partners(time_point now);
    void select_partners_of_large_fleet(time_point now);
    /// Reports partners that left this host's queries unanswered.
    void detect_unreachable_partners(time_point now);
    /// The next host that is down, in turn; nothing if there is none.
    [[nodiscard]] std::optional<known_host> next_down_host();
    void forget_old(time_point now);
    void merge_relaying_hosts(const std::vector<relaying_host>& told, time_point now);
    /// Calls `action` for each host that relays, as this host hears it or as others tell it.
    void for_each_relaying_host(
        const std::function<void(const relaying_host_view&)>& action, time_point now) const;
    /// Names relaying hosts to a receiver that has lost its way to upstreams.
    void fill_relaying_hosts(peer_report& report, const host_id& receiver, time_point now) const;
    [[nodiscard]] std::vector<entry*> list_due(time_point now);
    /// Returns the entry if this host monitors that host by its own messages, or null.
    [[nodiscard]] const entry* find_monitored(const host_id& id) const;
    [[nodiscard]] bool is_live(const entry& item, time_point now) const;
    /// Time within which every partner has two turns, so that one lost answer doesn't make a host count as
    /// down; at least the heartbeat timeout.
    [[nodiscard]] duration turns_timeout() const;
    /// Like `is_live`, within a time in which every partner has its turn.
    [[nodiscard]] bool is_live_by_turns(const entry& item, time_point now) const;
    [[nodiscard]] duration ask_interval(const entry& item, time_point now) const;
    /// True if the last report is older than the heartbeat timeout only because the host's turn has not come.
    [[nodiscard]] bool is_waiting_for_turn(const entry& item, time_point now) const;
    /// True if the host is live, or counts as such until its turn.
    [[nodiscard]] bool is_up(const entry& item, time_point now) const
    {
        return this->is_live(item, now) || this->is_waiting_for_turn(item, now);
    }
    [[nodiscard]] bool is_present(const host_id& id, const member& known, time_point now) const;
    /// Like `is_present`, for a ranking; `is_watched`: this host monitors those ranked before it.
    [[nodiscard]] bool is_ranked(
        const host_id& id, const member& known, bool is_watched, time_point now) const;
    [[nodiscard]] bool reads_store(const host_id& id, const member& known) const;
    /// True if this host is one of the standbys, among all hosts that it has heard.
    [[nodiscard]] bool is_duty_standby() const;
    /// Number of hosts ranked before this one, up to `enough`, of those that the store answers, or of all if
    /// it answers none. Nothing if it answers others and not this one.
    [[nodiscard]] std::optional<std::size_t> rank_among_store_readers(bool reads_store, std::size_t enough,
        const std::function<bool(const host_id&, const member&)>& is_there,
        const std::function<bool(const host_id&)>& is_before) const;

    host_table_settings settings;
    membership members;
    std::map<host_id, entry> others; ///< partners, and hosts that were heard lately
    std::map<host_id, told_relaying_host> told_relaying; ///< in a large fleet
    /// Version of the membership from which the partners were selected.
    std::optional<std::uint64_t> partners_version;
    host_id last_down_host_queried;
    time_point last_round{};
    time_point awake_since{}; ///< since when this host has run its rounds in time
    std::optional<time_point> started;
};

} // namespace sailtiller
