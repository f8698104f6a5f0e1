// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/peerreport.h>

#include <deque>
#include <map>

namespace sailtiller {

/// Times and bounds of the membership.
struct membership_settings
{
    /// Hosts that must report another one as unreachable until it counts as down; in a fleet of fewer than
    /// four a single one.
    std::size_t confirmations_needed = 2;
    /// Number of reports in which a host sends an update. With ten, one host in 20,000 doesn't receive it and
    /// finds out by the digest.
    unsigned max_transmissions = 10;
    std::size_t max_per_report = 24; ///< states in one report, 70 bytes each
    /// A host that received no equal digest for this long has missed an update and queries all states.
    duration agreement_limit = std::chrono::milliseconds(1500);
    /// A host that is down is removed after this time.
    duration forget_timeout = std::chrono::seconds(60);
    /// Number of hosts, first by id, that report to all others whether the store answers them. The readers of
    /// the store are among them.
    std::size_t reader_candidates = 16;
};

/// The hosts of the site, by a gossip protocol (SWIM: Das and others, 2002). Only a few hosts monitor a given
/// one directly. Those that find it unreachable, and the host itself when it starts, leaves or refutes such a
/// report, send an update to a few others, which forward it. The cost of a change for a host does not depend
/// on the size of the fleet; without changes each report carries only a digest.
class membership
{
public:
    /// The state of another host as known here.
    struct member
    {
        host_state state;
        incarnation_number heard{1}; ///< of the state that the host last reported of itself
        std::optional<time_point> down_since;
    };
    /// Whether the receiver of an update forwards it.
    enum class propagation { forwarded, not_forwarded };

    membership(known_host self, membership_settings settings);

    /// Adds a host that has a record in the store.
    void add(const known_host& host);
    void take(const host_state& news, propagation use, time_point now);
    /// Records a report sent by the host itself.
    void record_report(const peer_report& report, time_point now);
    /// Records that the host left this one's query unanswered.
    void note_unreachable(const host_id& id, time_point now);
    /// Sets the state that this host reports of itself. Only reader candidates report that the store doesn't
    /// answer them.
    void set_own_state(bool is_leaving, bool reads_store);
    void set_own_address(const endpoint& address) { this->own_state.host.address = address; }
    void forget(const host_id& id);
    void remove_expired_down(time_point now);

    /// Returns the updates for the next report to that host and counts them as sent.
    std::vector<host_state> next_updates(const host_id& receiver);
    /// All states, this host's included.
    [[nodiscard]] std::vector<host_state> list_all() const;
    [[nodiscard]] std::uint64_t digest() const;
    /// Compares the digest of another host with the own one; true if that host should be queried for all
    /// states.
    bool note_digest(std::uint64_t other, time_point now);

    [[nodiscard]] const std::map<host_id, member>& others() const { return this->members; }
    [[nodiscard]] const host_state& own() const { return this->own_state; }
    /// Incremented with each change of the membership.
    [[nodiscard]] std::uint64_t version() const { return this->changes; }
    [[nodiscard]] bool is_reader_candidate() const;

private:
    /// A host's state that is still to be sent.
    struct pending_update
    {
        host_id id;
        unsigned transmissions_left = 0;
    };

    [[nodiscard]] std::size_t confirmations_needed() const;
    /// Refutes a report that this host is unreachable, by a higher incarnation.
    void refute(incarnation_number told);
    void renew_own_state();
    /// Merges the hosts that report the member as unreachable in its present incarnation; true if any of them
    /// is new.
    bool merge_unreachable_from(member& item, const std::vector<host_id>& unreachable_from) const;
    void update_liveness(member& item, time_point now);
    void tell(const host_id& id);
    void note_change();

    membership_settings settings;
    host_state own_state;
    std::map<host_id, member> members; ///< all but this one
    std::deque<pending_update> pending;
    std::uint64_t changes = 0;
    mutable std::optional<std::uint64_t> known_digest;
    std::optional<time_point> agreed; ///< time of the last equal digest, or since when one is awaited
};

} // namespace sailtiller
