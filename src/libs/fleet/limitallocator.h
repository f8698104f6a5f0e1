// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/limitmessages.h>

namespace sailtiller {

/// Times and bounds by which a limit is shared out. What hosts have been granted and what one home may grant
/// at once are small beside what users allow above a limit, half of it and five requests in four seconds, so
/// that a second home beside the first does no harm for a second.
struct limit_allocator_settings
{
    /// A limit of less is taken for this, one request in four seconds: without any request, no answer would
    /// ever tell that the limit has ended.
    double least_rate = 0.25;
    /// What isn't used waits for the next who asks: so many requests, and so much time's worth.
    double min_burst = 2;
    duration burst_time = std::chrono::milliseconds(100);
    /// Questions for each request that may be granted; with one, a fifth of what is there meets nobody who
    /// asks.
    double queries_per_request = 2;
    /// Between two questions of one host. The more hosts ask, the longer, so that questions cost the same
    /// whatever the size of the fleet.
    duration min_wait = std::chrono::milliseconds(50);
    duration longest_wait = std::chrono::seconds(4);
    /// A host that started within this time leaves limits to hosts that run for longer: until all know of it,
    /// some would ask it and the others who shared out before.
    duration settle_time = std::chrono::seconds(10);
    /// Hosts that start at the same moment differ by less.
    duration start_spread = std::chrono::seconds(1);
    /// It leaves them to others, also what it would grant itself, for so long after one of those has asked.
    duration deferral_time = std::chrono::seconds(2);
};

/// Shares out the limits of upstreams among all hosts that ask: one bucket for each, which begins empty, as
/// another host may have shared it out a moment ago.
class limit_allocator
{
public:
    explicit limit_allocator(upstream_limits& limits, limit_allocator_settings settings = {})
        : limits(limits)
        , settings(settings)
    {
    }

    /// `uptime`: of this host; `is_leaving`: it stops and hands its limits to others at once.
    limit_grant answer(const limit_query& question, duration uptime, bool is_leaving, time_point now);
    /// Forgets upstreams for which nobody asks any more.
    void forget_idle(time_point now);
    [[nodiscard]] std::size_t bucket_count() const { return this->buckets.size(); }

private:
    struct bucket
    {
        double requests = 0;
        time_point refilled{};
        std::map<host_id, time_point> querying_hosts; ///< when each last asked
    };

    /// True if this host has started just now, and others that run for longer share limits out.
    bool defers_to_established_hosts(const limit_query& question, duration uptime, time_point now);
    void refill(bucket& item, double rate, time_point now) const;
    void note_querying_host(bucket& item, const host_id& asker, time_point now) const;
    /// How long until a host that has been answered now should ask again.
    [[nodiscard]] duration wait_until_next_query(const bucket& item, double rate) const;

    upstream_limits& limits;
    limit_allocator_settings settings;
    std::map<upstream_id, bucket> buckets;
    std::optional<time_point>
        established_host_asked; ///< when one that runs for longer last asked this young host
};

} // namespace sailtiller
