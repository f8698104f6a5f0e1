// SPDX-License-Identifier: Apache-2.0
#include <fleet/ownership.h>
#include <fleet/shareallocator.h>
#include <fleet/shareclient.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// Shares in use are renewed at half of their lease, so that one lost renewal has no effect.
constexpr duration renew_interval = share_lease / 2;
/// Requests that may wait for one allocator; more are refused at once.
constexpr std::size_t max_waiting = 256;
/// Retry delay at the stream limit, where a stream usually ends soon.
constexpr duration streams_retry = std::chrono::seconds(1);

/// Streams queried beyond the waiting ones, so that a busy account doesn't need a query for each request.
std::uint32_t headroom(std::uint32_t in_use)
{
    return in_use / 4;
}

share_refusal rate_refusal(const account_limits& limits)
{
    const double seconds = limits.requests_per_second > 0 ? 1.0 / limits.requests_per_second : 1.0;
    return {"too_many_requests", std::chrono::ceil<duration>(std::chrono::duration<double>(seconds))};
}

} // namespace

share_client::share_client(host_id self, share_hooks hooks)
    : self(std::move(self))
    , hooks(std::move(hooks))
{
}

void share_client::start()
{
    this->hooks.timers.schedule_after(renew_interval, [this] {
        this->start();
        this->renew();
    });
}

void share_client::admit_next(account_share& share)
{
    const decision_handler handler = std::move(share.waiting.front());
    share.waiting.pop_front();
    ++share.in_use;
    handler(std::nullopt);
}

void share_client::refuse(account_share& share, const share_refusal& refusal)
{
    const decision_handler handler = std::move(share.waiting.front());
    share.waiting.pop_front();
    handler(refusal);
}

void share_client::admit(const client_account& account, decision_handler on_decision)
{
    account_share& share = this->accounts[account.name];
    share.limits = account.limits;
    const bool has_room = account.limits.streams == 0
        || (share.in_use < share.granted && this->hooks.timers.now() < share.expires);
    if (has_room && account.limits.requests_per_second <= 0) {
        ++share.in_use;
        on_decision(std::nullopt);
        return;
    }
    if (share.waiting.size() >= max_waiting) {
        on_decision(share_refusal{"too_many_requests", streams_retry});
        return;
    }
    share.waiting.push_back(std::move(on_decision));
    if (!share.is_query_pending) {
        this->ask(account.name, share);
    }
}

void share_client::ask(const client_account_id& name, account_share& share)
{
    const std::optional<host_id> home = find_owner(name.value(), this->hooks.live_hosts());
    share.home = home.value_or(this->self);
    share.is_query_pending = true;
    share.queried_count = share.waiting.size();
    const auto waiting = static_cast<std::uint32_t>(share.queried_count);
    const share_query question{this->self, {{name, share.in_use, waiting + headroom(share.in_use), waiting}}};
    // The lease counts from the query, so that it ends here before it ends at the allocator.
    const time_point asked_at = this->hooks.timers.now();
    this->hooks.query_allocator(
        share.home, question,
        [this, name, asked_at](const std::vector<share_grant>& grants) {
            if (grants.size() == 1 && grants.front().account == name) {
                this->handle_grant(name, grants.front(), asked_at);
            } else {
                this->decide_locally(name);
            }
        },
        [this, name] { this->decide_locally(name); });
}

void share_client::handle_grant(const client_account_id& name, const share_grant& grant, time_point asked_at)
{
    account_share& share = this->accounts[name];
    share.is_query_pending = false;
    share.granted = grant.streams;
    share.expires = asked_at + share_lease;
    const bool has_stream_limit = share.limits.streams != 0;
    std::uint32_t requests = grant.requests;
    // Requests that arrived during the query wait for the next one.
    std::size_t answered = share.queried_count;
    while (answered > 0 && requests > 0 && (!has_stream_limit || share.in_use < share.granted)) {
        --requests;
        --answered;
        this->admit_next(share);
    }
    const bool is_full = has_stream_limit && share.in_use >= share.granted;
    while (answered > 0) {
        --answered;
        refuse(
            share, is_full ? share_refusal{"too_many_streams", streams_retry} : rate_refusal(share.limits));
    }
    if (!share.waiting.empty()) {
        this->ask(name, share);
    }
}

void share_client::decide_locally(const client_account_id& name)
{
    account_share& share = this->accounts[name];
    share.is_query_pending = false;
    const time_point now = this->hooks.timers.now();
    const auto hosts = static_cast<double>(std::max<std::size_t>(1, this->hooks.live_hosts().size()));
    const auto streams = static_cast<std::uint32_t>(std::max(1.0, share.limits.streams / hosts));
    const auto rate =
        static_cast<std::uint32_t>(std::max(1.0, std::ceil(share.limits.requests_per_second / hosts)));
    if (now - share.local_window_start >= std::chrono::seconds(1)) {
        share.local_window_start = now;
        share.local_requests = 0;
    }
    while (!share.waiting.empty()) {
        const bool is_full = share.limits.streams != 0 && share.in_use >= std::max(streams, share.granted);
        const bool is_fast = share.limits.requests_per_second > 0 && share.local_requests >= rate;
        if (is_full || is_fast) {
            refuse(share,
                is_full ? share_refusal{"too_many_streams", streams_retry} : rate_refusal(share.limits));
            continue;
        }
        ++share.local_requests;
        ++this->alone;
        this->admit_next(share);
    }
}

void share_client::finish(const client_account_id& account)
{
    const auto found = this->accounts.find(account);
    if (found != this->accounts.end() && found->second.in_use > 0) {
        --found->second.in_use;
    }
}

void share_client::renew()
{
    const time_point now = this->hooks.timers.now();
    std::erase_if(this->accounts, [now](const auto& entry) {
        const account_share& share = entry.second;
        return share.in_use == 0 && share.waiting.empty() && !share.is_query_pending && share.expires <= now;
    });
    for (auto& [name, share] : this->accounts) {
        if (share.limits.streams != 0 && share.in_use > 0 && !share.is_query_pending) {
            this->ask(name, share);
        }
    }
}

void share_client::note_hosts_changed()
{
    const std::vector<host_id> hosts = this->hooks.live_hosts();
    for (auto& [name, share] : this->accounts) {
        const bool is_moved = find_owner(name.value(), hosts) != share.home;
        if (is_moved && share.limits.streams != 0 && share.in_use > 0 && !share.is_query_pending) {
            this->ask(name, share);
        }
    }
}

std::uint32_t share_client::streams_in_use(const client_account_id& account) const
{
    const auto found = this->accounts.find(account);
    return found == this->accounts.end() ? 0 : found->second.in_use;
}

} // namespace sailtiller
