// SPDX-License-Identifier: Apache-2.0
#include <base/randomfraction.h>
#include <routing/headroom.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// The mean time of use is that of the last requests, about as many as this.
constexpr std::int64_t most_averaged = 32;
/// Part of the growth within the age of reports by which the counts of others are taken to be too low: noise
/// of the counts looks like growth, too.
constexpr double assumed_growth = 0.5;

double in_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void headroom::set_live_hosts(std::size_t count, double near_share)
{
    this->live_hosts = static_cast<double>(std::max<std::size_t>(count, 1));
    this->near_hosts_share = std::clamp(near_share, 1 / this->live_hosts, 1.0);
}

void headroom::note_round(const std::vector<head_slots>& heads, time_point now)
{
    round_counts present{now, 0, 0};
    for (const head_slots& head : heads) {
        this->note_head(head, now);
        present.own += head.own;
        present.all += head.used;
    }
    this->note_counts(present);
    this->last_round = now;
    std::erase_if(this->seen,
        [this, now](const auto& item) { return now - item.second.last >= this->settings.absence; });
    std::erase_if(this->due, [this](const auto& item) { return !this->seen.contains(item.first); });
}

void headroom::note_head(const head_slots& head, time_point now)
{
    const auto [found, is_new] = this->seen.try_emplace(head.id);
    seen_head& item = found->second;
    const double used = std::min(head.used, head.slots);
    if (is_new) {
        item.since = this->last_round ? now : now - this->settings.slow_start; // all are new to a new host
        item.lasting_use = used;
    } else if (this->mean_use) {
        const double kept = std::exp(-in_seconds(now - item.last) / in_seconds(*this->mean_use));
        item.lasting_use = used + (item.lasting_use - used) * kept;
    }
    item.last = now;
}

void headroom::note_counts(const round_counts& present)
{
    this->rounds.push_back(present);
    while (present.at - this->rounds.front().at > this->settings.report_age) {
        this->rounds.pop_front();
    }
    // Own requests are counted as of the age of the reports, or all shares would grow with the requests.
    const round_counts& past = this->rounds.front();
    this->growth = past.all > 0 ? std::clamp(present.all / past.all - 1, 0.0, 1.0) : 0;
    const double passed = this->last_round ? in_seconds(present.at - *this->last_round) : 0;
    const double weight = std::min(1.0, passed / in_seconds(this->settings.share_memory));
    this->own_mean += (past.own - this->own_mean) * weight;
    this->all_mean += (present.all - present.own + past.own - this->all_mean) * weight;
}

head_choice headroom::choose(const std::vector<head_slots>& heads, time_point now, bool may_exceed)
{
    double slots = 0;
    double used = 0;
    double room = 0;
    std::vector<double> rooms;
    rooms.reserve(heads.size());
    for (const head_slots& head : heads) {
        slots += head.slots;
        used += head.used;
        rooms.push_back(this->room_of(head, now));
        room += rooms.back();
    }
    this->accrue(room, now);
    if (heads.empty() || used * (1 + this->growth) < this->settings.noticeable_use * slots) {
        this->left = std::max(this->left, -this->entitled);
        return {};
    }
    if (room <= 0 || (this->left < this->threshold && !may_exceed)) {
        return {true, std::nullopt};
    }
    return {true, this->pick(heads, rooms)};
}

double headroom::room_of(const head_slots& head, time_point now) const
{
    const double target = this->settings.target_use * head.slots;
    const double used = head.used * (1 + assumed_growth * this->growth);
    const auto found = this->seen.find(head.id);
    if (found == this->seen.end()) {
        return this->last_round ? 0 : std::max(0.0, target - used); // new since the last round
    }
    const double ended = this->mean_use
        ? found->second.lasting_use * in_seconds(this->settings.spread_time) / in_seconds(*this->mean_use)
        : 0;
    const double age = in_seconds(now - found->second.since) / in_seconds(this->settings.slow_start);
    return std::min(1.0, age) * std::max(0.0, target - used + ended);
}

void headroom::accrue(double room, time_point now)
{
    if (!this->drawn || now - *this->drawn >= this->settings.spread_time) {
        this->threshold = draw_fraction(this->random);
        this->drawn = now;
    }
    const double assumed = this->settings.assumed_requests;
    const double share = (this->own_mean + assumed) / (this->all_mean + this->live_hosts * assumed);
    this->entitled = share * room;
    const double passed = this->updated ? in_seconds(now - *this->updated) : 0;
    const double most = std::max(this->settings.min_saved, this->settings.saved_share * this->entitled);
    this->left =
        std::min(most, this->left + this->entitled * passed / in_seconds(this->settings.spread_time));
    this->updated = now;
}

upstream_id headroom::pick(const std::vector<head_slots>& heads, const std::vector<double>& rooms)
{
    double near_room = 0;
    double far_room = 0;
    for (std::size_t index = 0; index < heads.size(); ++index) {
        (heads[index].is_near ? near_room : far_room) += rooms[index];
    }
    // The hosts of a hall together send its heads no more than these have of all room.
    const double near_share = std::min(1.0, near_room / (this->near_hosts_share * (near_room + far_room)));
    const upstream_id* best = nullptr;
    double most_due = 0;
    for (std::size_t index = 0; index < heads.size(); ++index) {
        const bool is_near = heads[index].is_near;
        const double share = is_near ? near_share : 1 - near_share;
        if (rooms[index] <= 0 || share <= 0) {
            continue;
        }
        const auto [found, is_new] = this->due.try_emplace(heads[index].id);
        found->second = is_new ? draw_fraction(this->random)
                               : found->second + share * rooms[index] / (is_near ? near_room : far_room);
        if (best == nullptr || found->second > most_due) {
            best = &heads[index].id;
            most_due = found->second;
        }
    }
    this->due[*best] -= 1;
    return *best;
}

void headroom::note_sent()
{
    this->left = std::max(this->left - 1, -std::max(1.0, this->entitled));
}

void headroom::note_ended(duration use_time)
{
    this->ended_count = std::min(this->ended_count + 1, most_averaged);
    const duration before = this->mean_use.value_or(use_time);
    this->mean_use = std::max(duration(1), before + (use_time - before) / this->ended_count);
}

} // namespace sailtiller
