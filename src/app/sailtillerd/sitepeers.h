// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <fleet/hosttable.h>
#include <fleet/limitmessages.h>
#include <runtime/peerclient.h>
#include <runtime/peerserver.h>
#include <runtime/periodictask.h>
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
    /// Gives what another host lacks of the upstreams' entries, which knows them up to there; nothing if it
    /// can't be given now.
    std::function<std::optional<std::string>(const std::optional<log_offset>& known)> give_entries;
    /// The records of the other hosts, or the first page of them, have been read.
    std::function<void(const host_table&)> on_records;
    /// True if the store answers this host and it is fit for the duties of the site.
    std::function<bool()> reads_store;
    /// Answers a host that asks for requests of an upstream's limit.
    std::function<limit_grant(const limit_query&)> answer_limit;
    /// Takes crash records that another host sent between the rounds.
    std::function<void(const std::vector<crash_record>&)> take_crashes;
    random_function random;
};

/// The exchange of reports among the hosts of a site. Hosts find each other by their records in the store,
/// and after that by what they tell of each other.
class site_peers
{
public:
    /// Takes a peer's answer; nothing if it gave none.
    using text_handler = std::function<void(const std::optional<std::string>&)>;

    site_peers(event_loop& loop, store_client& store, known_host self, site_peers_hooks hooks);

    /// Throws `error` if the address can't be listened on. Returns it with the port that was bound.
    endpoint start(const endpoint& address);
    /// Writes this host's record again, in its turn of the next seconds: the store has lost some.
    void renew_record(duration turn);
    /// Tells the peers at once that this host takes no more duties.
    void announce_leaving();
    /// Asks a peer for its bundle; gives packed text, or nothing.
    void ask_bundle(const known_host& peer, const text_handler& on_answer);
    /// Asks a peer for what this host, which knows them up to there, lacks of the upstreams' entries.
    void ask_entries(
        const known_host& peer, const std::optional<log_offset>& known, const text_handler& on_answer);
    /// Asks a peer for requests of an upstream's limit; one of the handlers runs later.
    void ask_limit(const known_host& peer, const limit_query& question,
        const std::function<void(const limit_grant&)>& on_grant, const std::function<void()>& on_failure);
    /// Sends crash records to some hosts at once; a host that doesn't get them learns of them in a report.
    void send_crashes(const std::vector<crash_record>& crashes);
    [[nodiscard]] const host_table& hosts() const { return this->table; }
    /// Records that a host can't connect to a group of upstreams, as it answered.
    void note_unreachable_group(const host_id& id, const upstream_group& group)
    {
        this->table.note_unreachable_group(id, group, this->loop.now());
    }

private:
    void run_round();
    void ask_peers();
    /// `wants_changes`: the answer may hold changes of the upstreams' entries.
    void ask(const known_host& peer, bool wants_changes);
    void take_answer(const known_host& peer, const peer_report& report, time_point asked);
    /// Asks a peer for the states of all hosts.
    void ask_hosts(const known_host& peer);
    /// Asks for something that the peer may not be able to give now.
    void ask_text(const known_host& peer, const char* method, const std::string& body, const char* step,
        const text_handler& on_answer);
    std::optional<std::string> answer(const std::string& method, const std::string& body);
    std::optional<std::string> answer_typed(const std::string& method, const std::string& body);
    peer_report make_report(const host_id& receiver, const peer_report* asker);
    void take(const peer_report& report);
    void write_own_record();
    void read_first_records();
    void read_records(const std::optional<std::string>& after);
    void add_recorded_hosts(const std::vector<keyed_record>& records);
    /// Reads the next page of records if no host is known besides those of the pages read so far, and the
    /// first one again if no other host is heard.
    void check_records();

    event_loop& loop;
    store_client& store;
    site_peers_hooks hooks;
    host_table table;
    peer_client client;
    peer_server server;
    bool is_reading_records = false;
    std::optional<time_point> records_read; ///< time at which the last page was read
    std::optional<std::string> further_records; ///< key after which there are more records
    std::size_t recorded_hosts = 0; ///< other hosts in the pages read so far
    periodic_task rounds;
    periodic_task record_checks;
};

} // namespace sailtiller
