// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <bundle/bundle.h>
#include <fleet/sharemessages.h>

#include <deque>
#include <optional>
#include <unordered_map>

namespace sailtiller {

/// Why a request is not admitted, and when to retry.
struct share_refusal
{
    std::string code; ///< "too_many_streams" or "too_many_requests"
    duration retry_after{};
};

/// Dependencies of a share client.
struct share_hooks
{
    timer_hooks timers;
    /// Returns the hosts that are live by the platform's list, this one included.
    std::function<std::vector<host_id>()> live_hosts;
    /// Queries an allocator, possibly this host; exactly one callback runs, after the hook has returned.
    std::function<void(const host_id& home, const share_query& question,
        std::function<void(const std::vector<share_grant>&)> on_grants, std::function<void()> on_failure)>
        query_allocator;
};

/// A host's shares of the accounts' limits. A request is admitted against a share held by this host, or waits
/// for the answer of the account's allocator. If the allocator is unreachable, the host uses the limit
/// divided by the number of live hosts, at least one, so that the fleet exceeds a limit by a bounded number.
class share_client
{
public:
    /// Empty: the request is admitted, and `finish` must be called when it ends.
    using decision_handler = std::function<void(const std::optional<share_refusal>&)>;

    share_client(host_id self, share_hooks hooks);

    void start();
    /// Decides at once, or after the allocator's answer.
    void admit(const client_account& account, decision_handler on_decision);
    /// Records the end of an admitted request.
    void finish(const client_account_id& account);
    /// Reports shares in use to new allocators after a change of the live hosts.
    void note_hosts_changed();
    [[nodiscard]] std::uint32_t streams_in_use(const client_account_id& account) const;
    [[nodiscard]] std::size_t account_count() const { return this->accounts.size(); }
    /// Number of requests admitted without an answer of the allocator.
    [[nodiscard]] std::uint64_t admitted_locally() const { return this->alone; }

private:
    struct account_share
    {
        account_limits limits;
        std::uint32_t in_use = 0;
        std::uint32_t granted = 0;
        time_point expires{};
        std::deque<decision_handler> waiting;
        bool is_query_pending = false;
        /// Number of waiting requests, from the first, that the pending query covers.
        std::size_t queried_count = 0;
        host_id home;
        std::uint32_t local_requests = 0; ///< let in without the home since `local_window_start`
        time_point local_window_start{};
    };

    void ask(const client_account_id& name, account_share& share);
    void handle_grant(const client_account_id& name, const share_grant& grant, time_point asked_at);
    void decide_locally(const client_account_id& name);
    void renew();
    void admit_next(account_share& share);
    static void refuse(account_share& share, const share_refusal& refusal);

    host_id self;
    share_hooks hooks;
    std::unordered_map<client_account_id, account_share> accounts;
    std::uint64_t alone = 0;
};

} // namespace sailtiller
