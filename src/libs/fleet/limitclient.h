// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <fleet/limitmessages.h>

namespace sailtiller {

/// Dependencies of a limit client.
struct limit_client_hooks
{
    timer_hooks timers;
    /// Returns the live hosts, this one included.
    std::function<std::vector<host_id>()> hosts;
    /// Queries a host, possibly this one; exactly one of the handlers runs, at once or later.
    std::function<void(const host_id& home, const limit_query& question,
        std::function<void(const limit_grant&)> on_grant, std::function<void()> on_failure)>
        ask;
};

/// This host's grants of the limits that upstreams name. Requests to such an upstream need a grant of its
/// allocator: without coordination, each of hundreds of hosts would send a request of its own.
class limit_client
{
public:
    limit_client(host_id self, upstream_limits& limits, limit_client_hooks hooks)
        : self(std::move(self))
        , limits(limits)
        , hooks(std::move(hooks))
    {
    }

    /// Records the start of this process.
    void note_start(time_point now) { this->started = now; }
    [[nodiscard]] duration uptime(time_point now) const { return now - this->started; }
    /// True if a request may be sent to the upstream now. If not, a grant is queried.
    bool may_send(const upstream_id& id);
    /// Uses up one granted request if the upstream names a limit. False if none is left.
    bool take(const upstream_id& id);
    /// True if no granted request is left and the next query is not due soon.
    [[nodiscard]] bool is_exhausted(const upstream_id& id) const;
    /// True if no upstream names a limit.
    [[nodiscard]] bool is_empty() const { return this->limits.is_empty(); }
    /// Records the upstream's answer to a request that was sent at `sent`.
    void note_answer(
        const upstream_id& id, const std::optional<double>& requests_per_second, time_point sent);
    /// Removes upstreams that name no limit any more.
    void tidy();

private:
    struct holding
    {
        unsigned granted = 0;
        time_point expires{}; ///< of the grant
        unsigned wanted = 0; ///< since the last query
        bool is_asking = false;
        unsigned questions = 0; ///< since a request last needed a grant
        time_point ask_again{};
    };

    void ask(const upstream_id& id, holding& item);
    void handle_grant(const upstream_id& id, const host_id& home, const limit_grant& grant, time_point asked);
    /// Handles a query that the host left unanswered.
    void handle_query_failure(const upstream_id& id, const host_id& home);
    void skip_host(const host_id& home);
    /// Queries the next host in rank.
    void ask_next(const upstream_id& id);
    [[nodiscard]] std::optional<host_id> find_allocator(const upstream_id& id);

    host_id self;
    upstream_limits& limits;
    limit_client_hooks hooks;
    time_point started{};
    std::map<upstream_id, holding> holdings;
    std::map<host_id, time_point> skipped_hosts; ///< until when
    std::map<host_id, unsigned> failures; ///< consecutive queries that a host left unanswered
};

} // namespace sailtiller
