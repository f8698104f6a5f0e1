// SPDX-License-Identifier: Apache-2.0
#include <fleet/limitclient.h>
#include <fleet/ownership.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Validity of a grant. Unused requests expire: sent later, they would add to those granted in the meantime.
constexpr duration grant_time = std::chrono::milliseconds(500);
/// Time for which a host that doesn't answer or grants nothing is not queried.
constexpr duration skip_time = std::chrono::seconds(1);
/// Consecutive unanswered queries until a host is skipped. Each skipped host may lead to two allocators of
/// the same limit, and a single answer may be lost.
constexpr unsigned max_failures = 3;
/// Consecutive queries before a pause for the upstream.
constexpr unsigned max_queries = 5;
constexpr duration unanswered_pause = std::chrono::milliseconds(250);
/// A limit doesn't count as exhausted while the next query is due this soon: a rejected caller retries only
/// after a second.
constexpr duration short_wait_limit = std::chrono::milliseconds(100);
/// Requests in one query; a host sends no more than this between two queries.
constexpr unsigned max_wanted = 64;

} // namespace

bool limit_client::may_send(const upstream_id& id)
{
    if (!this->limits.limit_of(id)) {
        return true;
    }
    const time_point now = this->hooks.timers.now();
    holding& item = this->holdings[id];
    if (item.granted > 0 && now < item.expires) {
        return true;
    }
    item.granted = 0;
    item.wanted = std::min(item.wanted + 1, max_wanted);
    if (!item.is_asking && now >= item.ask_again) {
        item.questions = 0;
        this->ask(id, item);
    }
    return item.granted > 0;
}

bool limit_client::take(const upstream_id& id)
{
    if (!this->may_send(id)) {
        return false;
    }
    const auto found = this->holdings.find(id);
    if (found != this->holdings.end() && found->second.granted > 0) {
        --found->second.granted;
    }
    return true;
}

bool limit_client::is_exhausted(const upstream_id& id) const
{
    const auto found = this->holdings.find(id);
    if (found == this->holdings.end()) {
        return false;
    }
    const holding& item = found->second;
    const time_point now = this->hooks.timers.now();
    const bool is_granted = item.granted > 0 && now < item.expires;
    return !is_granted && !item.is_asking && item.ask_again > now + short_wait_limit;
}

std::optional<host_id> limit_client::find_allocator(const upstream_id& id)
{
    const time_point now = this->hooks.timers.now();
    std::erase_if(this->skipped_hosts, [now](const auto& host) { return host.second <= now; });
    std::vector<host_id> hosts = this->hooks.hosts();
    std::erase_if(this->failures, [&hosts](const auto& host) {
        return std::find(hosts.begin(), hosts.end(), host.first) == hosts.end();
    });
    std::erase_if(hosts, [this](const host_id& host) { return this->skipped_hosts.count(host) != 0; });
    return find_owner(id.value(), hosts);
}

void limit_client::ask(const upstream_id& id, holding& item)
{
    const std::optional<host_id> home = this->find_allocator(id);
    if (!home || item.questions >= max_queries) {
        item.is_asking = false;
        item.ask_again = this->hooks.timers.now() + unanswered_pause;
        return;
    }
    ++item.questions;
    item.is_asking = true;
    const time_point now = this->hooks.timers.now();
    const limit_query question{
        this->self, this->uptime(now), this->limits.statement_of(id, now), item.wanted};
    this->hooks.ask(
        *home, question,
        [this, id, home = *home, now](const limit_grant& grant) { this->handle_grant(id, home, grant, now); },
        [this, id, home = *home] { this->handle_query_failure(id, home); });
}

void limit_client::handle_grant(
    const upstream_id& id, const host_id& home, const limit_grant& grant, time_point asked)
{
    const time_point now = this->hooks.timers.now();
    this->limits.take(grant.statement, now);
    this->failures.erase(home);
    if (!grant.is_allocator) {
        this->skip_host(home);
        this->ask_next(id);
        return;
    }
    const auto found = this->holdings.find(id);
    if (found == this->holdings.end()) {
        return; // the limit has ended in the meantime
    }
    holding& item = found->second;
    item.is_asking = false;
    item.wanted = 0;
    item.granted = grant.granted;
    // Counted from the query, so that a delayed grant is not valid for longer.
    item.expires = asked + grant_time;
    item.ask_again = now + grant.wait;
}

void limit_client::handle_query_failure(const upstream_id& id, const host_id& home)
{
    if (++this->failures[home] >= max_failures) {
        this->skip_host(home);
    }
    this->ask_next(id);
}

void limit_client::skip_host(const host_id& home)
{
    this->skipped_hosts[home] = this->hooks.timers.now() + skip_time;
}

void limit_client::ask_next(const upstream_id& id)
{
    const auto found = this->holdings.find(id);
    if (found != this->holdings.end()) {
        this->ask(id, found->second);
    }
}

void limit_client::note_answer(
    const upstream_id& id, const std::optional<double>& requests_per_second, time_point sent)
{
    const time_point now = this->hooks.timers.now();
    // An answer without a limit may have been delayed beyond one that named it; it only shows that there was
    // no limit when its request was sent.
    const duration age = requests_per_second ? duration::zero() : now - sent;
    this->limits.take({id, requests_per_second, age}, now);
}

void limit_client::tidy()
{
    std::erase_if(this->holdings, [this](const auto& item) { return !this->limits.limit_of(item.first); });
}

} // namespace sailtiller
