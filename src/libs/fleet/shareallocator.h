// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <bundle/bundle.h>
#include <fleet/sharemessages.h>

#include <map>
#include <unordered_map>

namespace sailtiller {

/// Validity of a granted share of streams. A host that dies keeps its share for this long; renewals of shares
/// in use make up most of the messages (docs/CAPACITY.md).
constexpr duration share_lease = std::chrono::seconds(30);

/// Allocates an account's fleet-wide limits among the hosts that query them.
///
/// The streams granted to all hosts never exceed the limit, except for streams in use when the limit was
/// lowered or this host has just become the allocator: these are counted and never revoked. Requests per
/// second come from one token bucket.
class share_allocator
{
public:
    /// Returns an account's limits by the bundle in force; null if there is no such account.
    using limits_lookup = std::function<const account_limits*(const client_account_id&)>;

    explicit share_allocator(limits_lookup limits_of);

    std::vector<share_grant> answer(const share_query& question, time_point now);
    [[nodiscard]] std::size_t account_count() const { return this->accounts.size(); }
    /// Streams granted and not expired, over all hosts.
    [[nodiscard]] std::uint32_t granted_streams(const client_account_id& account, time_point now) const;
    /// Removes accounts without leases.
    void drop_unused(time_point now);

private:
    struct lease
    {
        std::uint32_t streams = 0;
        time_point expires{};
    };

    struct account_state
    {
        std::map<host_id, lease> leases;
        double requests = 0;
        time_point refilled_at{};
        bool is_new = true;
    };

    static std::uint32_t grant_streams(account_state& state, const account_limits& limits,
        const host_id& holder, const share_demand& wish, time_point now);
    static std::uint32_t grant_requests(
        account_state& state, const account_limits& limits, std::uint32_t wanted, time_point now);

    limits_lookup limits_of;
    std::unordered_map<client_account_id, account_state> accounts;
};

} // namespace sailtiller
