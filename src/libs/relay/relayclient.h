// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <base/upstreamgroup.h>
#include <delivery/deliverycontext.h>
#include <relay/relaymessages.h>
#include <runtime/connectionpool.h>

#include <map>
#include <set>
#include <vector>

namespace sailtiller {

/// Another host that reaches a group of upstreams, as it reports.
struct relay_candidate
{
    host_id id;
    endpoint address; ///< for relay requests
    bool is_same_hall = false;
    unsigned relayed_calls = 0; ///< that it relays for all hosts, by its last report
    data_hall_id data_hall{};
};

/// Times and bounds of relayed calls.
struct relay_client_settings
{
    /// Time limit of a connection to another host, as of one to an upstream.
    duration connect_limit = std::chrono::milliseconds(200);
    /// Time until the other host has accepted the request, the connection included. A host that was suspended
    /// in between finds the connection closed and sends nothing.
    duration accept_limit = std::chrono::milliseconds(400);
    /// An answer over which nothing has come for so long, neither bytes of the upstream nor keep-alive lines,
    /// is one of a host that is lost. It doesn't depend on how often the hosts of a fleet hear each other.
    duration silence_limit = std::chrono::milliseconds(400);
    /// Interval between checks for silence.
    duration check_interval = std::chrono::milliseconds(50);
    /// Time without new requests for a host that failed one.
    duration avoid_time = std::chrono::milliseconds(1000);
    /// The same for a host whose connection ended after it had accepted a request. One that was killed
    /// refuses new connections after this time; before, it may still take a request that it doesn't pass on.
    duration pause_after_loss = std::chrono::milliseconds(100);
    /// Hosts that are tried for one call while nothing of it has reached an upstream, but for those that
    /// answer at once that they have no way to it themselves.
    std::size_t max_hosts = 3;
    /// Hosts without a way that are tried for one call. In the first moments of a loss that many hosts share,
    /// few have told the others of it.
    std::size_t max_hosts_without_way = 8;
    /// Of these, hosts that may fail to connect to the upstream; a second one may tell a dead upstream from a
    /// host that has just lost its own way.
    std::size_t max_upstream_connections = 2;
    /// Calls that a host of another hall must have fewer than one of this host's hall to be chosen.
    unsigned other_hall_calls = 8;
    /// The same for a host of a hall in which another one has no way; often the hosts of a hall lose it
    /// together.
    unsigned doubtful_hall_calls = 64;
    /// Largest refusal of a host, which is a line of text.
    std::size_t max_refusal_bytes = std::size_t{64} << 10U;
};

/// Why a call counts as lost with its relaying host.
enum class relay_loss {
    not_accepted, ///< the host did not accept the request in time
    silent, ///< the host accepted it, and nothing more has come over the connection
    ended ///< the connection to the host ended, or its answer was malformed
};

/// Name of the cause in metrics.
std::string_view name_of(relay_loss cause);

/// Callbacks of the relay client.
struct relay_client_hooks
{
    random_function random;
    std::function<std::vector<relay_candidate>(const upstream_group&)> list_candidates;
    /// Returns false once the fleet counts the host as gone; for relaying hosts whose answers contain no
    /// keep-alive lines.
    std::function<bool(const host_id&)> is_up;
    /// Called if a host answers that it can't connect to the group, which its reports don't tell yet.
    std::function<void(const host_id&, const upstream_group&)> on_no_way;
    /// Called for each call that is lost with its relaying host.
    std::function<void(relay_loss)> on_lost;
    std::function<void(const delivery_event&)> log;
};

/// Sends requests to upstreams by way of other hosts. A call ends as one over a connection of this host's
/// own: as not connected only if the other host says that no byte reached the upstream, or got none itself;
/// as broken only if that host says so of the upstream. Whatever becomes of the host itself is `relay_lost`.
class relay_client
{
public:
    relay_client(event_loop& loop, relay_client_settings settings, relay_client_hooks hooks);
    ~relay_client();
    relay_client(const relay_client&) = delete;
    relay_client& operator=(const relay_client&) = delete;

    /// Sends a request by way of the host with the fewest relayed calls. The handlers run from the loop. The
    /// result cancels the call.
    cancel_call send(const upstream_target& target, const upstream_group& group, const http_request& request,
        bool may_repeat, http_call_handlers handlers);
    /// Returns true if some host that may be asked reaches the group.
    [[nodiscard]] bool has_candidate(const upstream_group& group) const;
    [[nodiscard]] std::size_t calls_in_progress() const { return this->calls.size(); }

private:
    class relayed_call;

    /// Hosts that were asked to send one request.
    struct tried_hosts
    {
        std::set<host_id> all;
        std::size_t without_way = 0; ///< number of those that have no way to the group themselves
        std::set<data_hall_id> halls_without_way;
    };

    [[nodiscard]] std::optional<relay_candidate> choose(
        const upstream_group& group, const tried_hosts& tried) const;
    void avoid(const host_id& host, duration time);
    void schedule_check();
    /// Ends the calls by way of hosts that have fallen silent, as lost with them.
    void end_silent_calls();
    /// Calls of this host that are under way by way of each other one.
    [[nodiscard]] std::map<host_id, unsigned> count_calls() const;

    event_loop& loop;
    relay_client_settings settings;
    relay_client_hooks hooks;
    connection_pool connections;
    std::map<host_id, time_point> avoided_until;
    std::map<std::uint64_t, std::shared_ptr<relayed_call>> calls;
    std::uint64_t last_key = 0;
    /// Time for which this host has looked for silent calls. A check that runs late adds no more than two
    /// intervals, so that a delay of this host's own is not taken for silence of others.
    duration watched{};
    time_point last_check{};
    timer_id check_timer = 0;
    bool is_check_scheduled = false;
};

} // namespace sailtiller
