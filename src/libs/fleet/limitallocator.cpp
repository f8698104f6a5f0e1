// SPDX-License-Identifier: Apache-2.0
#include <fleet/limitallocator.h>

#include <algorithm>

namespace sailtiller {

namespace {

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

limit_grant limit_allocator::answer(
    const limit_query& question, duration uptime, bool is_leaving, time_point now)
{
    this->limits.take(question.statement, now);
    limit_grant grant;
    grant.statement = this->limits.statement_of(question.statement.upstream, now);
    if (is_leaving || this->defers_to_established_hosts(question, uptime, now)) {
        grant.is_allocator = false;
        return grant;
    }
    if (!grant.statement.requests_per_second) {
        return grant; // the limit has ended
    }
    const double rate = std::max(*grant.statement.requests_per_second, this->settings.least_rate);
    const auto [place, is_new] = this->buckets.try_emplace(question.statement.upstream);
    bucket& item = place->second;
    if (is_new) {
        item.refilled = now;
    }
    this->refill(item, rate, now);
    this->note_querying_host(item, question.holder, now);
    // Each host gets an equal part: requests granted to a host that doesn't use them are lost to the others.
    const double part = std::max(1.0, item.requests / static_cast<double>(item.querying_hosts.size()));
    grant.granted = std::min(question.wanted, static_cast<unsigned>(std::min(part, item.requests)));
    item.requests -= grant.granted;
    grant.wait = this->wait_until_next_query(item, rate);
    return grant;
}

bool limit_allocator::defers_to_established_hosts(
    const limit_query& question, duration uptime, time_point now)
{
    if (uptime >= this->settings.settle_time) {
        return false;
    }
    if (question.uptime > uptime + this->settings.start_spread) {
        this->established_host_asked = now;
    }
    return this->established_host_asked && now - *this->established_host_asked < this->settings.deferral_time;
}

void limit_allocator::refill(bucket& item, double rate, time_point now) const
{
    const double most = this->settings.min_burst + rate * seconds_of(this->settings.burst_time);
    item.requests = std::min(most, item.requests + rate * seconds_of(now - item.refilled));
    item.refilled = now;
}

void limit_allocator::note_querying_host(bucket& item, const host_id& asker, time_point now) const
{
    std::erase_if(item.querying_hosts,
        [this, now](const auto& known) { return now - known.second > 2 * this->settings.longest_wait; });
    item.querying_hosts[asker] = now;
}

duration limit_allocator::wait_until_next_query(const bucket& item, double rate) const
{
    const double seconds =
        static_cast<double>(item.querying_hosts.size()) / (rate * this->settings.queries_per_request);
    const double longest = seconds_of(this->settings.longest_wait);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, longest)));
    return std::max(wait, this->settings.min_wait);
}

void limit_allocator::forget_idle(time_point now)
{
    std::erase_if(this->buckets, [this, now](const auto& item) {
        return now - item.second.refilled > 2 * this->settings.longest_wait;
    });
}

} // namespace sailtiller
