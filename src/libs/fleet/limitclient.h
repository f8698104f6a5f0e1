// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <fleet/limitmessages.h>

namespace sailtiller {

/// What a holder needs from outside.
struct limit_client_hooks
{
    timer_hooks timers;
    /// The hosts that live, this one included.
    std::function<std::vector<host_id>()> hosts;
    /// Asks a host, which may be this one itself; exactly one of the handlers runs, at once or later.
    std::function<void(const host_id& home, const limit_query& question,
        std::function<void(const limit_grant&)> on_grant, std::function<void()> on_failure)>
        ask;
};

/// This host's part of the limits that upstreams name. Nothing goes to such an upstream without a grant of
/// the host that shares its limit out: by what each host knows alone, every one of hundreds would send a
/// request of its own.
class limit_client
{
public:
    limit_client(host_id self, upstream_limits& limits, limit_client_hooks hooks)
        : self(std::move(self))
        , limits(limits)
        , hooks(std::move(hooks))
    {
    }

    /// This process has begun.
    void note_start(time_point now) { this->started = now; }
    [[nodiscard]] duration uptime(time_point now) const { return now - this->started; }
    /// True if a request may go to the upstream now. If not, one is asked for.
    bool may_send(const upstream_id& id);
    /// A request goes to the upstream: takes one of those that were granted, if it names a limit. False if
    /// none is left.
    bool take(const upstream_id& id);
    /// True if its limit is used up: nothing that was granted is left, and more isn't asked for soon.
    [[nodiscard]] bool is_exhausted(const upstream_id& id) const;
    /// True if no upstream names a limit.
    [[nodiscard]] bool is_empty() const { return this->limits.is_empty(); }
    /// An answer of the upstream came to a request that was sent at `sent`.
    void note_answer(
        const upstream_id& id, const std::optional<double>& requests_per_second, time_point sent);
    /// Forgets upstreams that name no limit any more.
    void tidy();

private:
    struct holding
    {
        unsigned granted = 0;
        time_point expires{}; ///< of what is granted
        unsigned wanted = 0; ///< since the last question
        bool is_asking = false;
        unsigned questions = 0; ///< since a request wanted one
        time_point ask_again{};
    };

    void ask(const upstream_id& id, holding& item);
    void handle_grant(const upstream_id& id, const host_id& home, const limit_grant& grant, time_point asked);
    /// The host didn't answer.
    void handle_query_failure(const upstream_id& id, const host_id& home);
    void skip_host(const host_id& home);
    /// Asks the host that is next, for the present question.
    void ask_next(const upstream_id& id);
    [[nodiscard]] std::optional<host_id> find_allocator(const upstream_id& id);

    host_id self;
    upstream_limits& limits;
    limit_client_hooks hooks;
    time_point started{};
    std::map<upstream_id, holding> holdings;
    std::map<host_id, time_point> skipped_hosts; ///< until when
    std::map<host_id, unsigned> failures; ///< questions in a row that a host left unanswered
};

} // namespace sailtiller
