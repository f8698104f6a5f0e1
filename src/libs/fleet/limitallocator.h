// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/limitmessages.h>

namespace sailtiller {

/// Intervals and bounds of the allocation of a limit. Outstanding grants and the burst of one allocator are
/// small beside the permitted excess over a limit (half of it and five requests in four seconds), so that two
/// allocators may coexist for a second.
struct limit_allocator_settings
{
    /// Lower limits are raised to this, one request in four seconds: without any request, no answer could
    /// report the end of the limit.
    double least_rate = 0.25;
    /// Bucket size: this number of requests plus the requests of `burst_time`.
    double min_burst = 2;
    duration burst_time = std::chrono::milliseconds(100);
    /// Queries for each request that may be granted; with one, a fifth of the limit remains unused.
    double queries_per_request = 2;
    /// Bounds of the interval between two queries of one host. It grows with the number of querying hosts, so
    /// that the cost of queries does not depend on the size of the fleet.
    duration min_wait = std::chrono::milliseconds(50);
    duration longest_wait = std::chrono::seconds(4);
    /// A host that started within this time leaves allocation to established hosts: until all hosts know it,
    /// some would query it and others the previous allocator.
    duration settle_time = std::chrono::seconds(10);
    /// Uptimes of hosts that start at the same moment differ by less.
    duration start_spread = std::chrono::seconds(1);
    /// Time for which a new host grants nothing, not even to itself, after a query of an established host.
    duration deferral_time = std::chrono::seconds(2);
};

/// Allocates the limits of upstreams among all hosts that query them: one token bucket for each upstream,
/// initially empty, as another host may have granted its requests a moment ago.
class limit_allocator
{
public:
    explicit limit_allocator(upstream_limits& limits, limit_allocator_settings settings = {})
        : limits(limits)
        , settings(settings)
    {
    }

    /// `uptime`: of this host; `is_leaving`: this host stops and grants nothing more.
    limit_grant answer(const limit_query& question, duration uptime, bool is_leaving, time_point now);
    /// Removes the buckets of upstreams that no host queries any more.
    void forget_idle(time_point now);
    [[nodiscard]] std::size_t bucket_count() const { return this->buckets.size(); }

private:
    struct bucket
    {
        double requests = 0;
        time_point refilled{};
        std::map<host_id, time_point> querying_hosts; ///< time of the last query of each host
    };

    /// True if this host has just started and an established host has queried it.
    bool defers_to_established_hosts(const limit_query& question, duration uptime, time_point now);
    void refill(bucket& item, double rate, time_point now) const;
    void note_querying_host(bucket& item, const host_id& asker, time_point now) const;
    /// Time until a host that is answered now should query again.
    [[nodiscard]] duration wait_until_next_query(const bucket& item, double rate) const;

    upstream_limits& limits;
    limit_allocator_settings settings;
    std::map<upstream_id, bucket> buckets;
    /// Time of the last query of an established host while this host is new.
    std::optional<time_point> established_host_asked;
};

} // namespace sailtiller
