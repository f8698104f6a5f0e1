// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/peerreport.h>

#include <deque>
#include <map>

namespace sailtiller {

/// Times and bounds of the membership.
struct membership_settings
{
    /// So many hosts must miss another one until it counts as gone; in a fleet of fewer than four a single
    /// one.
    std::size_t confirmations_needed = 2;
    /// A host tells a piece of news so often. With ten, one host in 20,000 doesn't hear of it and finds out
    /// by the digest.
    unsigned max_transmissions = 10;
    std::size_t max_per_report = 24; ///< states in one report, 70 bytes each
    /// A host that met no equal digest for so long lacks some news and asks for all states.
    duration agreement_limit = std::chrono::milliseconds(1500);
    /// A host that is gone is forgotten after this.
    duration forget_timeout = std::chrono::seconds(60);
    /// The hosts, first by their ids, that tell all others whether the store answers them: those that read it
    /// for all are among them.
    std::size_t reader_candidates = 16;
};

/// Which hosts the site has. Only a few hosts hear a given one themselves; those that miss it, and the host
/// itself when it starts, leaves or was missed in error, say so to a few others, who pass it on. So a change
/// costs a host the same in a fleet of any size, and a fleet at rest costs nothing but a digest in each
/// report (SWIM: Das and others, 2002).
class membership
{
public:
    /// A host, as it is believed to be.
    struct member
    {
        host_state state;
        incarnation_number heard{1}; ///< of the state that it told of itself last
        std::optional<time_point> down_since;
    };
    /// Whether the receiver of news passes them on.
    enum class propagation { forwarded, not_forwarded };

    membership(known_host self, membership_settings settings);

    /// A record in the store names the host.
    void add(const known_host& host);
    void take(const host_state& news, propagation use, time_point now);
    /// The host itself sent a report.
    void record_report(const peer_report& report, time_point now);
    /// The host has left this one without an answer.
    void note_unreachable(const host_id& id, time_point now);
    /// What this host tells of itself. Whether the store answers it is told by a few hosts only.
    void set_own_state(bool is_leaving, bool reads_store);
    void set_own_address(const endpoint& address) { this->own_state.host.address = address; }
    void forget(const host_id& id);
    void remove_expired_down(time_point now);

    /// What the next report to that host tells; counts as told.
    std::vector<host_state> next_updates(const host_id& receiver);
    /// All states, this host's included.
    [[nodiscard]] std::vector<host_state> list_all() const;
    [[nodiscard]] std::uint64_t digest() const;
    /// Another host has that digest; true if this one should ask it for all states.
    bool note_digest(std::uint64_t other, time_point now);

    [[nodiscard]] const std::map<host_id, member>& others() const { return this->members; }
    [[nodiscard]] const host_state& own() const { return this->own_state; }
    /// Grows with each change of who is there.
    [[nodiscard]] std::uint64_t version() const { return this->changes; }
    [[nodiscard]] bool is_reader_candidate() const;

private:
    /// A host's state that is still to be told.
    struct pending_update
    {
        host_id id;
        unsigned transmissions_left = 0;
    };

    [[nodiscard]] std::size_t confirmations_needed() const;
    /// Says of itself that it is there after all.
    void refute(incarnation_number told);
    void renew_own_state();
    /// Takes over what other hosts say of one in its present state; true if any of it is new.
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
    std::optional<time_point> agreed; ///< or since when agreement is waited for
};

} // namespace sailtiller
