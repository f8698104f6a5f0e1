// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/hosttable.h>
#include <fleet/limitmessages.h>
#include <runtime/peerclient.h>
#include <runtime/peerserver.h>
#include <store/storeclient.h>

namespace sailtiller {

/// What the exchange with peers asks of the rest of its host.
struct site_peers_hooks
{
    /// Adds what this host knows; `asker` is the report of the host that asks, if one does.
    std::function<void(peer_report& report, const peer_report* asker)> fill_report;
    /// A report came, in a question or an answer; how long it was under way is not known.
    std::function<void(const peer_report&)> take_report;
    /// The answer to a question that was sent at `asked`.
    std::function<void(const peer_report&, time_point asked)> take_answer;
    /// Told in each round.
    std::function<void(const host_table&)> on_round;
    std::function<bool()> is_leaving;
    /// Gives this host's bundle, packed; nothing if it can't be given now.
    std::function<std::optional<std::string>()> give_bundle;
    /// Answers a host that asks for requests of an upstream's limit.
    std::function<limit_grant(const limit_question&)> answer_limit;
};

/// The exchange of reports among the hosts of a site. Hosts find each other by their records in the store,
/// and after that by what they tell of each other.
class site_peers
{
public:
    site_peers(event_loop& loop, store_client& store, known_host self, site_peers_hooks hooks);

    /// Throws `error` if the address can't be listened on. Returns it with the port that was bound.
    endpoint start(const endpoint& address);
    /// Writes this host's record again, in its turn of the next seconds: the store has lost some.
    void renew_record(duration turn);
    /// Tells the peers at once that this host takes no more duties.
    void announce_leaving();
    /// Asks a peer for its bundle; gives packed text, or nothing.
    void ask_bundle(
        const known_host& peer, const std::function<void(const std::optional<std::string>&)>& on_answer);
    /// Asks a peer for requests of an upstream's limit; one of the handlers runs later.
    void ask_limit(const known_host& peer, const limit_question& question,
        const std::function<void(const limit_grant&)>& on_grant, const std::function<void()>& on_failure);
    [[nodiscard]] const host_table& hosts() const { return this->table; }

private:
    void run_round();
    void ask_peers();
    /// `wants_list`: the answer may hold the list of all upstreams.
    void ask(const known_host& peer, bool wants_list);
    std::optional<std::string> answer(const std::string& method, const std::string& body);
    [[nodiscard]] peer_report make_report(const peer_report* asker) const;
    void take(const peer_report& report);
    void write_own_record();
    void read_records();
    void take_records(const std::vector<keyed_record>& records);

    event_loop& loop;
    store_client& store;
    site_peers_hooks hooks;
    host_table table;
    peer_client client;
    peer_server server;
    unsigned rounds = 0;
};

} // namespace sailtiller
