// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>
#include <base/loadsummary.h>
#include <base/upstreamgroup.h>
#include <fleet/crashsuspects.h>
#include <fleet/upstreamlimits.h>

#include <optional>
#include <string>
#include <vector>

namespace sailtiller {

/// A host of the site and where its peers reach it.
struct known_host
{
    host_id id;
    endpoint address;
    data_hall_id data_hall;

    bool operator==(const known_host&) const = default;
};

/// Version of a host's state; of two reported states the one with the higher number is valid.
using incarnation_number = strong_type<struct incarnation_number_tag, std::uint64_t>;

/// The state of a host, as hosts pass it on to each other.
struct host_state
{
    known_host host;
    incarnation_number incarnation{1};
    bool is_leaving = false;
    bool reads_store = true; ///< reported only by reader candidates
    /// Some of the hosts whose queries it left unanswered in this state.
    std::vector<host_id> unreachable_from;
};

/// Work of one host's requests at an upstream.
struct upstream_work
{
    upstream_id id;
    double token_layers = 0;
    unsigned requests = 0;
    unsigned led = 0; ///< requests that the upstream leads; all of them in reports of older releases
};

/// An upstream that failed a host's requests, and for how much longer it gets no new ones.
struct upstream_suspicion
{
    upstream_id id;
    duration left{};
};

/// An upstream that answered a host's probe.
struct upstream_probe_result
{
    upstream_id id;
    double pace = 1; ///< factor by which it is slower than expected
    duration age{}; ///< since the answer
};

/// Layers that an engine itself reports, while its entry can't be read.
struct reported_layers
{
    upstream_id id;
    unsigned begin = 0;
    unsigned end = 0; ///< exclusive
    duration age{}; ///< since the engine's report
};

/// One change of an upstream's entry in the store.
struct entry_change
{
    std::string key;
    std::optional<std::string> value; ///< nothing: the entry was removed
};

/// A host that relays requests to upstreams, as one host tells another that has lost its way to some.
struct relaying_host
{
    known_host host;
    endpoint relay_address;
    unsigned relayed_calls = 0;
    std::vector<upstream_group> unreachable; ///< to which it can make no connections
    duration age{}; ///< since its report that says so
};

/// Report exchanged between two hosts, in a query and in its answer. Ages are as of the time of sending.
struct peer_report
{
    known_host sender;
    bool is_leaving = false;
    std::uint64_t bundle_version = 0; ///< 0 if the sender has none
    std::optional<duration> bundle_age; ///< since the bundle was known to be the newest
    std::optional<std::uint64_t> entries_offset; ///< up to which the sender knows the upstreams' entries
    std::optional<duration> entries_age;
    std::optional<duration> store_disturbed_age; ///< since the store was last unavailable; nothing: unknown
    bool reads_store = true; ///< false if the store failed the sender's last read
    /// Offset up to which the sender knows the entries; it sends the changes only in answer to a separate
    /// query.
    std::optional<std::uint64_t> withheld_offset;
    bool wants_changes = true; ///< in a query: the answer may contain changes if they are few
    bool are_entries_whole = false; ///< the changes contain all entries, and missing ones were removed
    std::vector<entry_change> changes; ///< only for a receiver that knows fewer changes
    std::vector<upstream_work> work;
    load_summary load; ///< of the engines' service by the sender's requests; empty without admission control
    std::vector<upstream_suspicion> suspicions;
    std::vector<upstream_suspicion> unwilling; ///< upstreams that refused the sender despite free capacity
    /// Of upstreams that were dead or are slow; only the latest result.
    std::vector<upstream_probe_result> signs;
    std::vector<reported_layers>
        holdings; ///< that differ from the entries; only while the store is unavailable
    std::vector<upstream_id> leaving_upstreams; ///< that announced it in their answers, not by their entries
    incarnation_number incarnation{1}; ///< of the sender's state
    std::uint64_t hosts_digest = 0; ///< of the hosts known to the sender; 0: not reported
    std::vector<host_state> news; ///< of hosts whose state changed recently
    std::vector<crash_record> crashes; ///< requests and parts of prompts under which upstreams have crashed
    std::vector<limit_statement> limits; ///< that upstreams name or recently named
    std::optional<endpoint> relay_address; ///< at which the sender relays requests of others
    unsigned relayed_calls = 0; ///< that the sender relays now
    std::vector<upstream_group> unreachable; ///< to which the sender can make no connections
    /// Some hosts that reach what the receiver can't, and that need not be its partners.
    std::vector<relaying_host> relaying_hosts;
};

/// Writes the states of hosts as CBOR.
std::string encode_host_news(const std::vector<host_state>& news);
/// Throws `error` if the bytes are malformed.
std::vector<host_state> decode_host_news(const std::string& bytes);

/// Writes crash records as CBOR.
std::string encode_crash_records(const std::vector<crash_record>& crashes);
/// Throws `error` if the bytes are malformed.
std::vector<crash_record> decode_crash_records(const std::string& bytes);

/// Writes a report as CBOR.
std::string encode_peer_report(const peer_report& report);
/// Throws `error` if the bytes are malformed.
peer_report decode_peer_report(const std::string& bytes);

} // namespace sailtiller
