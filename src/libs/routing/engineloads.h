// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <unordered_map>

namespace sailtiller {

/// Load and availability of one upstream as this host knows them.
struct engine_load
{
    double token_layers = 0; ///< cache that this host's requests use there, in tokens times layers
    unsigned requests = 0; ///< requests of this host that pass through it
    unsigned led = 0; ///< of these, requests that it leads; they use its slots
    double remote_token_layers = 0; ///< cache used by the other hosts, by their latest reports
    unsigned remote_requests = 0;
    unsigned remote_led = 0;
    time_point failed_until{}; ///< suspected by this host until then; gets no new requests
    time_point reported_until{}; ///< the same by the report of another host
    time_point avoided_until{}; ///< avoided after a refusal for a temporary reason
    time_point unwilling_until{}; ///< avoided after a refusal despite free capacity
    unsigned unwilling_count = 0; ///< number of such refusals since it last accepted a request
    unsigned failure_count = 0; ///< requests of this host that it ran and failed since it last served one
    time_point unreachable_until{}; ///< gets no new requests, as a connection failed
    time_point unreachable_since{}; ///< last failed connection
    unsigned unreachable_count = 0; ///< such periods since it last served a request
    double pace = 1; ///< observed slowdown relative to the profile of its card

    /// Returns whether this host or another one suspects the upstream to be dead or unreachable.
    [[nodiscard]] bool has_failed(time_point now) const;
    /// Returns whether new requests may be sent there.
    [[nodiscard]] bool accepts_requests(time_point now) const;
};

/// Usage of an upstream by the requests of other hosts.
struct upstream_usage
{
    double token_layers = 0;
    unsigned requests = 0;
    unsigned led = 0; ///< requests that it leads
};

/// Loads of the upstreams, from this host's own counts and the reports of the other hosts.
class engine_loads
{
public:
    /// Returns the load of an upstream; an empty load if it is unknown.
    [[nodiscard]] const engine_load& of(const upstream_id& id) const;
    /// Adds one request of this host that uses `token_layers` tokens times layers. Its head leads it.
    void add(const upstream_id& id, double token_layers, bool is_head = false);
    /// Removes one request. The values are those given to `add`.
    void subtract(const upstream_id& id, double token_layers, bool is_head = false);
    /// Suspects an upstream that failed this host's requests: it gets no new requests before `until`, or
    /// before a later time set earlier. The suspicion is reported to other hosts.
    void suspend(const upstream_id& id, time_point until);
    /// Avoids an upstream that refused a request for a temporary reason. Other hosts are not informed.
    void avoid(const upstream_id& id, time_point until);
    /// Notes a refusal despite free capacity: the upstream drains or unloads layers, and its entry does not
    /// say so yet. It gets no new requests for `pause`, doubled at each further refusal up to `longest`. This
    /// is reported to other hosts.
    void note_unwilling(const upstream_id& id, time_point now, duration pause, duration longest);
    /// Notes a request that the upstream ran and failed. From the second failure in a row on, it is avoided
    /// as in `note_unwilling`; the first may be caused by the request itself.
    void note_failure(const upstream_id& id, time_point now, duration pause, duration longest);
    /// Notes that this host got no connection to the upstream, of which it has no other sign of life. It gets
    /// no new requests for `pause`, or until a sign of life. The time doubles up to `longest` with each
    /// period after which it can't be connected either. Connections that fail within a period belong to it.
    /// Other hosts are not informed, as the connection may have failed for a reason of this host.
    void note_unreachable(const upstream_id& id, time_point now, duration pause, duration longest);
    /// Notes a sign of life given at `at`, to this host or another one. It ends a period without new requests
    /// that a connection failed before it began.
    void note_alive(const upstream_id& id, time_point at);
    /// Forgets failed connections to an upstream, as this host has lost or found its way to its whole group.
    void forget_unreachable(const upstream_id& id);
    /// Notes that the upstream serves a request, which ends a run of failures.
    void note_served(const upstream_id& id);
    /// As `suspend`, by the report of another host. It is not reported further.
    void suspend_on_report(const upstream_id& id, time_point until);
    /// Sets the usage by other hosts. Upstreams that are not in `shares` have none.
    void set_remote_usage(const std::map<upstream_id, upstream_usage>& shares);
    /// Sets the number of hosts without a report yet. Each is assumed to cause as much load as this one.
    void set_unreported_hosts(std::size_t count) { this->unreported_hosts = static_cast<double>(count); }
    /// Returns the cache that the requests of all hosts use at an upstream, in tokens times layers.
    [[nodiscard]] double total_token_layers(const engine_load& load) const;
    /// Returns the number of requests of all hosts that pass through an upstream.
    [[nodiscard]] double total_requests(const engine_load& load) const;
    /// Returns the number of requests of all hosts that an upstream leads.
    [[nodiscard]] double total_led(const engine_load& load) const;
    /// Sets the slowdown of an upstream relative to the profile of its card.
    void set_pace(const upstream_id& id, double pace);
    /// Ends suspicions and avoidance of an upstream that has answered.
    void resume(const upstream_id& id);
    /// Removes upstreams that are unknown and run no requests of this host.
    void forget_idle(const std::function<bool(const upstream_id&)>& is_known);

    [[nodiscard]] const std::unordered_map<upstream_id, engine_load>& all() const { return this->loads; }

private:
    std::unordered_map<upstream_id, engine_load> loads;
    double unreported_hosts = 0;
};

} // namespace sailtiller
