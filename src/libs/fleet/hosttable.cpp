// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <fleet/hosttable.h>

#include <algorithm>

namespace sailtiller {

bool host_table::is_live(const entry& item, time_point now) const
{
    return item.heard && !item.is_leaving && now - *item.heard < this->settings.silence_limit;
}

bool host_table::is_heard_in_turn(const entry& item, time_point now) const
{
    // Two turns, so that one lost answer doesn't make a host seem gone.
    const auto rounds = static_cast<duration::rep>(2 * this->others.size() / this->settings.most_asked);
    const duration limit = std::max(this->settings.silence_limit, rounds * this->settings.round_interval);
    return item.heard && !item.is_leaving && now - *item.heard < limit;
}

duration host_table::ask_interval(const entry& item, time_point now) const
{
    if (!this->is_live(item, now)) {
        return this->settings.gone_interval;
    }
    if (this->is_new(now)) {
        return duration::zero();
    }
    const bool is_here = item.host.data_hall == this->self.data_hall;
    return is_here ? duration::zero() : this->settings.other_hall_interval;
}

bool host_table::is_new(time_point now) const
{
    return this->started && now - *this->started < this->settings.new_time;
}

std::size_t host_table::unheard_count(time_point now) const
{
    const auto is_unheard = [this, now](const auto& item) {
        return !item.second.heard && now - item.second.added < this->settings.silence_limit;
    };
    return static_cast<std::size_t>(std::count_if(this->others.begin(), this->others.end(), is_unheard));
}

host_table::entry& host_table::find_or_add(const host_id& id)
{
    const auto [place, is_new] = this->others.try_emplace(id);
    if (is_new) {
        place->second.turn = stable_hash(id.value(), stable_hash(this->self.id.value()));
    }
    return place->second;
}

void host_table::add(const known_host& host, time_point now)
{
    if (host.id == this->self.id) {
        return;
    }
    const bool is_new = this->others.count(host.id) == 0;
    entry& item = this->find_or_add(host.id);
    // Its own word, if it was heard, goes before what others tell.
    if (is_new || !this->is_live(item, now)) {
        item.host = host;
    }
    if (is_new) {
        item.added = now;
    }
}

void host_table::note_heard(const peer_report& report, time_point now)
{
    if (report.sender.id == this->self.id) {
        return;
    }
    entry& item = this->find_or_add(report.sender.id);
    item.host = report.sender;
    item.heard = now;
    item.is_leaving = report.is_leaving;
    item.reads_store = report.reads_store;
    item.work = report.work;
}

std::vector<known_host> host_table::choose_asked(time_point now)
{
    std::erase_if(this->others, [this, now](const auto& item) {
        return now - item.second.heard.value_or(item.second.added) > this->settings.forget_after;
    });
    std::vector<entry*> due;
    for (auto& [id, item] : this->others) {
        if (now - item.asked >= this->ask_interval(item, now)) {
            due.push_back(&item);
        }
    }
    std::sort(due.begin(), due.end(), [](const entry* left, const entry* right) {
        return std::pair(left->asked, left->turn) < std::pair(right->asked, right->turn);
    });
    due.resize(std::min(due.size(), this->settings.most_asked));
    std::vector<known_host> asked;
    for (entry* item : due) {
        item->asked = now;
        asked.push_back(item->host);
    }
    return asked;
}

std::vector<known_host> host_table::live_hosts(time_point now) const
{
    std::vector<known_host> live = {this->self};
    for (const auto& [id, item] : this->others) {
        if (this->is_live(item, now)) {
            live.push_back(item.host);
        }
    }
    std::sort(live.begin(), live.end(),
        [](const known_host& left, const known_host& right) { return left.id < right.id; });
    return live;
}

std::size_t host_table::heard_count(time_point now, duration within) const
{
    const auto is_heard = [now, within](const auto& item) {
        return item.second.heard && now - *item.second.heard < within;
    };
    const auto count = std::count_if(this->others.begin(), this->others.end(), is_heard);
    return 1 + static_cast<std::size_t>(count);
}

std::size_t host_table::own_rank(time_point now) const
{
    const std::vector<known_host> live = this->live_hosts(now);
    const auto own = std::find_if(
        live.begin(), live.end(), [this](const known_host& host) { return host.id == this->self.id; });
    return static_cast<std::size_t>(own - live.begin());
}

bool host_table::is_reader(bool reads_store, time_point now) const
{
    bool is_any_able = reads_store;
    std::size_t able_before = 0;
    std::size_t before = 0;
    for (const auto& [id, item] : this->others) {
        const bool is_present = this->is_heard_in_turn(item, now);
        const bool is_before = id < this->self.id;
        is_any_able = is_any_able || (is_present && item.reads_store);
        able_before += is_present && is_before && item.reads_store ? 1 : 0;
        before += is_present && is_before ? 1 : 0;
    }
    const std::size_t rank = is_any_able ? able_before : before;
    return reads_store == is_any_able && rank < this->settings.reader_count;
}

std::map<upstream_id, upstream_work> host_table::sum_work(time_point now) const
{
    std::map<upstream_id, upstream_work> sums;
    for (const auto& [id, item] : this->others) {
        if (!item.heard || now - *item.heard >= this->settings.silence_limit) {
            continue;
        }
        for (const upstream_work& work : item.work) {
            upstream_work& sum = sums[work.id];
            sum.id = work.id;
            sum.token_layers += work.token_layers;
            sum.requests += work.requests;
        }
    }
    return sums;
}

} // namespace sailtiller
