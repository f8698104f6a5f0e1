// SPDX-License-Identifier: Apache-2.0
#include <fleet/shareallocator.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Size of the request bucket in seconds of the limit's rate.
constexpr double burst_seconds = 1.0;

} // namespace

share_allocator::share_allocator(limits_lookup limits_of)
    : limits_of(std::move(limits_of))
{
}

std::vector<share_grant> share_allocator::answer(const share_query& question, time_point now)
{
    std::vector<share_grant> grants;
    for (const share_demand& wish : question.demands) {
        const account_limits* limits = this->limits_of(wish.account);
        if (limits == nullptr) {
            grants.push_back({wish.account, wish.streams_in_use, 0});
            continue;
        }
        account_state& state = this->accounts[wish.account];
        const std::uint32_t streams = grant_streams(state, *limits, question.holder, wish, now);
        const std::uint32_t requests = grant_requests(state, *limits, wish.requests_wanted, now);
        grants.push_back({wish.account, streams, requests});
    }
    return grants;
}

std::uint32_t share_allocator::grant_streams(account_state& state, const account_limits& limits,
    const host_id& holder, const share_demand& wish, time_point now)
{
    std::erase_if(state.leases, [now](const auto& entry) { return entry.second.expires <= now; });
    std::uint32_t held_by_others = 0;
    for (const auto& [host, item] : state.leases) {
        held_by_others += host == holder ? 0 : item.streams;
    }
    const std::uint32_t left = limits.streams > held_by_others ? limits.streams - held_by_others : 0;
    const std::uint32_t desired = wish.streams_in_use + wish.streams_wanted;
    const std::uint32_t granted =
        limits.streams == 0 ? desired : std::max(wish.streams_in_use, std::min(desired, left));
    if (granted == 0) {
        state.leases.erase(holder);
    } else {
        state.leases[holder] = {granted, now + share_lease};
    }
    return granted;
}

std::uint32_t share_allocator::grant_requests(
    account_state& state, const account_limits& limits, std::uint32_t wanted, time_point now)
{
    if (limits.requests_per_second <= 0) {
        return wanted;
    }
    const double burst = std::max(1.0, limits.requests_per_second * burst_seconds);
    const double elapsed = std::chrono::duration<double>(now - state.refilled_at).count();
    state.requests =
        state.is_new ? burst : std::min(burst, state.requests + elapsed * limits.requests_per_second);
    state.refilled_at = now;
    state.is_new = false;
    const auto granted = std::min(wanted, static_cast<std::uint32_t>(state.requests));
    state.requests -= granted;
    return granted;
}

std::uint32_t share_allocator::granted_streams(const client_account_id& account, time_point now) const
{
    const auto found = this->accounts.find(account);
    std::uint32_t sum = 0;
    if (found != this->accounts.end()) {
        for (const auto& [host, item] : found->second.leases) {
            sum += item.expires > now ? item.streams : 0;
        }
    }
    return sum;
}

void share_allocator::drop_unused(time_point now)
{
    for (auto item = this->accounts.begin(); item != this->accounts.end();) {
        account_state& state = item->second;
        std::erase_if(state.leases, [now](const auto& entry) { return entry.second.expires <= now; });
        const bool is_unused = state.leases.empty() && now - state.refilled_at > share_lease;
        item = is_unused ? this->accounts.erase(item) : std::next(item);
    }
}

} // namespace sailtiller
