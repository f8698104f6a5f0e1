// SPDX-License-Identifier: Apache-2.0
#include <fleet/limithome.h>

#include <algorithm>

namespace sailtiller {

namespace {

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

limit_grant limit_home::answer(
    const limit_question& question, duration uptime, bool is_leaving, time_point now)
{
    this->limits.take(question.statement, now);
    limit_grant grant;
    grant.statement = this->limits.statement_of(question.statement.upstream, now);
    if (is_leaving || this->leaves_to_elders(question, uptime, now)) {
        grant.is_home = false;
        return grant;
    }
    if (!grant.statement.requests_per_second) {
        return grant; // it names none any more
    }
    const double rate = std::max(*grant.statement.requests_per_second, this->settings.least_rate);
    const auto [place, is_new] = this->buckets.try_emplace(question.statement.upstream);
    bucket& item = place->second;
    if (is_new) {
        item.refilled = now;
    }
    this->refill(item, rate, now);
    this->note_asker(item, question.holder, now);
    // Each its part of what is there: what one host is granted and doesn't use is lost to the others.
    const double part = std::max(1.0, item.requests / static_cast<double>(item.askers.size()));
    grant.granted = std::min(question.wanted, static_cast<unsigned>(std::min(part, item.requests)));
    item.requests -= grant.granted;
    grant.wait = this->wait_of(item, rate);
    return grant;
}

bool limit_home::leaves_to_elders(const limit_question& question, duration uptime, time_point now)
{
    if (uptime >= this->settings.settle_time) {
        return false;
    }
    if (question.uptime > uptime + this->settings.start_spread) {
        this->elder_asked = now;
    }
    return this->elder_asked && now - *this->elder_asked < this->settings.elder_memory;
}

void limit_home::refill(bucket& item, double rate, time_point now) const
{
    const double most = this->settings.least_burst + rate * seconds_of(this->settings.burst_time);
    item.requests = std::min(most, item.requests + rate * seconds_of(now - item.refilled));
    item.refilled = now;
}

void limit_home::note_asker(bucket& item, const host_id& asker, time_point now) const
{
    std::erase_if(item.askers,
        [this, now](const auto& known) { return now - known.second > 2 * this->settings.longest_wait; });
    item.askers[asker] = now;
}

duration limit_home::wait_of(const bucket& item, double rate) const
{
    const double seconds =
        static_cast<double>(item.askers.size()) / (rate * this->settings.questions_per_request);
    const double longest = seconds_of(this->settings.longest_wait);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, longest)));
    return std::max(wait, this->settings.shortest_wait);
}

void limit_home::forget_idle(time_point now)
{
    std::erase_if(this->buckets, [this, now](const auto& item) {
        return now - item.second.refilled > 2 * this->settings.longest_wait;
    });
}

} // namespace sailtiller
