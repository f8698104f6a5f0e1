// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <fleet/hosttable.h>

#include <algorithm>
#include <cmath>
#include <tuple>

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
        place->second.duty_order = stable_hash(id.value());
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
    const bool is_standby = this->is_duty_standby();
    const auto rank_of = [is_standby, own = this->own_duty_order()](const entry* item) {
        const bool is_watched = is_standby && item->heard && item->duty_order < own;
        return std::tuple(!is_watched, item->asked, item->turn);
    };
    std::sort(due.begin(), due.end(),
        [&rank_of](const entry* left, const entry* right) { return rank_of(left) < rank_of(right); });
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

bool host_table::is_present(const entry& item, time_point now) const
{
    return this->is_live(item, now) || this->awaits_turn(item, now);
}

std::vector<host_id> host_table::present_ids(time_point now) const
{
    std::vector<host_id> present = {this->self.id};
    for (const auto& [id, item] : this->others) {
        if (this->is_present(item, now)) {
            present.push_back(id);
        }
    }
    return present;
}

std::size_t host_table::present_count(time_point now) const
{
    const auto count = std::count_if(this->others.begin(), this->others.end(),
        [this, now](const auto& item) { return this->is_present(item.second, now); });
    return 1 + static_cast<std::size_t>(count);
}

const known_host* host_table::find(const host_id& id) const
{
    const auto found = this->others.find(id);
    return found == this->others.end() ? nullptr : &found->second.host;
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

std::optional<std::size_t> host_table::rank_at_store(bool reads_store,
    const std::function<bool(const entry&)>& is_present,
    const std::function<bool(const entry&)>& is_before) const
{
    bool is_any_able = reads_store;
    std::size_t able_before = 0;
    std::size_t before = 0;
    for (const auto& [id, item] : this->others) {
        if (!is_present(item)) {
            continue;
        }
        is_any_able = is_any_able || item.reads_store;
        able_before += is_before(item) && item.reads_store ? 1 : 0;
        before += is_before(item) ? 1 : 0;
    }
    if (reads_store != is_any_able) {
        return std::nullopt;
    }
    return is_any_able ? able_before : before;
}

bool host_table::is_reader(bool reads_store, time_point now) const
{
    const std::optional<std::size_t> rank = this->rank_at_store(
        reads_store, [this, now](const entry& item) { return this->is_heard_in_turn(item, now); },
        [this](const entry& item) { return item.host.id < this->self.id; });
    return rank && *rank < this->settings.reader_count;
}

std::uint64_t host_table::own_duty_order() const
{
    return stable_hash(this->self.id.value());
}

bool host_table::is_duty_standby() const
{
    const auto before = std::count_if(
        this->others.begin(), this->others.end(), [own = this->own_duty_order()](const auto& item) {
            return item.second.heard && item.second.duty_order < own;
        });
    return static_cast<std::size_t>(before) < this->settings.duty_standbys;
}

bool host_table::is_duty_candidate(bool reads_store, time_point now) const
{
    const bool is_standby = this->is_duty_standby();
    const std::optional<std::size_t> rank = this->rank_at_store(
        reads_store,
        [this, now, is_standby](const entry& item) {
            return is_standby ? this->is_live(item, now) : this->is_heard_in_turn(item, now);
        },
        [own = this->own_duty_order()](const entry& item) { return item.duty_order < own; });
    return rank && *rank < this->settings.duty_candidates;
}

std::vector<known_host> host_table::hosts_to_tell(std::size_t round, time_point now) const
{
    std::vector<known_host> live = this->live_hosts(now);
    if (live.size() <= this->settings.most_told) {
        return live;
    }
    const std::size_t begin = round * this->settings.most_told % live.size();
    std::rotate(live.begin(), live.begin() + static_cast<std::ptrdiff_t>(begin), live.end());
    live.resize(this->settings.most_told);
    return live;
}

bool host_table::awaits_turn(const entry& item, time_point now) const
{
    const bool is_unanswered =
        item.heard && item.asked > *item.heard && now - item.asked >= this->settings.unanswered_limit;
    return this->is_heard_in_turn(item, now) && !this->is_live(item, now) && !is_unanswered;
}

std::map<upstream_id, upstream_work> host_table::sum_work(time_point now) const
{
    std::map<upstream_id, upstream_work> sums;
    double heard = 0;
    double awaited = 0;
    for (const auto& [id, item] : this->others) {
        if (!item.heard || now - *item.heard >= this->settings.silence_limit) {
            awaited += this->awaits_turn(item, now) ? 1 : 0;
            continue;
        }
        ++heard;
        for (const upstream_work& work : item.work) {
            upstream_work& sum = sums[work.id];
            sum.id = work.id;
            sum.token_layers += work.token_layers;
            sum.requests += work.requests;
        }
    }
    const double scale = heard == 0 ? 1 : (heard + awaited) / heard;
    for (auto& [id, sum] : sums) {
        sum.token_layers *= scale;
        sum.requests = static_cast<unsigned>(std::lround(sum.requests * scale));
    }
    return sums;
}

} // namespace sailtiller
