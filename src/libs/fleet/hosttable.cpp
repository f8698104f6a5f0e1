// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <fleet/hosttable.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace sailtiller {

namespace {

/// The same on each host.
std::uint64_t duty_order(const host_id& id)
{
    return stable_hash(id.value());
}

/// Counts the hosts of one kind, to estimate the sum of all from those that were heard.
struct host_count
{
    double heard = 0;
    double awaited = 0; ///< hosts that are up and did not report recently

    /// Returns the factor from the sum of the hosts that were heard to that of all.
    [[nodiscard]] double factor() const
    {
        return this->heard == 0 ? 1 : (this->heard + this->awaited) / this->heard;
    }
};

/// Work of the hosts of one kind at each upstream.
struct work_sum
{
    std::map<upstream_id, upstream_work> heard_work;
    host_count hosts;

    void add(const std::vector<upstream_work>& work)
    {
        ++this->hosts.heard;
        for (const upstream_work& item : work) {
            upstream_work& sum = this->heard_work[item.id];
            sum.token_layers += item.token_layers;
            sum.requests += item.requests;
            sum.led += item.led;
        }
    }

    void add_to(std::map<upstream_id, upstream_work>& total) const
    {
        const double factor = this->hosts.factor();
        for (const auto& [id, work] : this->heard_work) {
            upstream_work& sum = total[id];
            sum.id = id;
            sum.token_layers += factor * work.token_layers;
            sum.requests += static_cast<unsigned>(std::lround(factor * work.requests));
            sum.led += static_cast<unsigned>(std::lround(factor * work.led));
        }
    }
};

bool contains(const std::vector<upstream_group>& groups, const upstream_group& group)
{
    return std::find(groups.begin(), groups.end(), group) != groups.end();
}

} // namespace

host_table::host_table(known_host self, host_table_settings settings)
    : settings(settings)
    , members(std::move(self), settings.members)
{
}

bool host_table::is_live(const entry& item, time_point now) const
{
    return item.heard && !item.is_leaving && now - *item.heard < this->settings.heartbeat_timeout;
}

std::size_t host_table::partner_count() const
{
    return std::min(this->members.others().size(), this->settings.max_partners);
}

duration host_table::turns_timeout() const
{
    const auto rounds =
        static_cast<duration::rep>(2 * this->partner_count() / this->settings.max_queries_per_round);
    return std::max(this->settings.heartbeat_timeout, rounds * this->settings.round_interval);
}

bool host_table::is_live_by_turns(const entry& item, time_point now) const
{
    return item.heard && !item.is_leaving && now - *item.heard < this->turns_timeout();
}

duration host_table::ask_interval(const entry& item, time_point now) const
{
    if (!this->is_live(item, now)) {
        return this->settings.down_host_interval;
    }
    if (this->is_new(now)) {
        return duration::zero();
    }
    const bool is_here = item.host.data_hall == this->own().data_hall;
    return is_here ? duration::zero() : this->settings.other_hall_interval;
}

bool host_table::is_new(time_point now) const
{
    return this->started && now - *this->started < this->settings.new_time;
}

std::size_t host_table::pending_host_count(time_point now) const
{
    const auto is_unheard = [this, now](const auto& item) {
        return !item.second.heard && now - item.second.added < this->settings.heartbeat_timeout;
    };
    const auto count =
        static_cast<std::size_t>(std::count_if(this->others.begin(), this->others.end(), is_unheard));
    if (this->is_full_mesh()) {
        return count;
    }
    // Partners change with the membership; only at this host's own start may others be starting too.
    return this->is_new(now) ? count * this->members.others().size() / this->partner_count() : 0;
}

host_table::entry& host_table::find_or_add(const known_host& host, time_point now)
{
    const auto [place, is_new] = this->others.try_emplace(host.id);
    if (is_new) {
        place->second.host = host;
        place->second.added = now;
        place->second.turn = stable_hash(host.id.value(), stable_hash(this->own().id.value()));
        place->second.is_partner = this->is_full_mesh();
    }
    return place->second;
}

void host_table::add(const known_host& host, time_point now)
{
    if (host.id == this->own().id) {
        return;
    }
    this->members.add(host);
    if (!this->is_full_mesh()) {
        return;
    }
    entry& item = this->find_or_add(host, now);
    // A host's own report takes precedence over those of others.
    if (!this->is_live(item, now)) {
        item.host = host;
    }
}

void host_table::record_report(const peer_report& report, time_point now)
{
    if (report.sender.id == this->own().id) {
        return;
    }
    this->members.record_report(report, now);
    for (const host_state& news : report.news) {
        this->merge_state(news, membership::propagation::forwarded, now);
    }
    entry& item = this->find_or_add(report.sender, now);
    item.host = report.sender;
    item.heard = now;
    item.is_leaving = report.is_leaving;
    item.reads_store = report.reads_store;
    item.work = report.work;
    item.load = report.load;
    item.relay_address = report.relay_address;
    item.relayed_calls = report.relayed_calls;
    item.unreachable = report.unreachable;
    this->merge_relaying_hosts(report.relaying_hosts, now);
}

void host_table::for_each_relaying_host(
    const std::function<void(const relaying_host_view&)>& action, time_point now) const
{
    for (const auto& [id, item] : this->others) {
        const auto told = this->told_relaying.find(id);
        const bool is_told_newer = told != this->told_relaying.end() && told->second.heard > item.heard;
        if (item.relay_address && !is_told_newer && this->is_up(item, now)) {
            action({item.host, *item.relay_address, item.relayed_calls, item.unreachable, now - *item.heard});
        }
    }
    for (const auto& [id, told] : this->told_relaying) {
        const auto heard = this->others.find(id);
        const bool is_heard_newer = heard != this->others.end() && heard->second.heard >= told.heard;
        const auto known = this->members.others().find(id);
        const bool is_up = known != this->members.others().end() && this->is_present(id, known->second, now)
            && now - told.heard < this->turns_timeout();
        if (!is_heard_newer && is_up) {
            const relaying_host& item = told.item;
            action({item.host, item.relay_address, item.relayed_calls, item.unreachable, now - told.heard});
        }
    }
}

std::vector<relaying_host> host_table::list_relaying_hosts(const upstream_group& group, time_point now) const
{
    std::vector<relaying_host> list;
    this->for_each_relaying_host(
        [&list, &group](const relaying_host_view& item) {
            if (!contains(item.unreachable, group)) {
                list.push_back(item.copy());
            }
        },
        now);
    return list;
}

void host_table::fill_relaying_hosts(peer_report& report, const host_id& receiver, time_point now) const
{
    const auto found = this->others.find(receiver);
    if (this->is_full_mesh() || found == this->others.end() || found->second.unreachable.empty()) {
        return;
    }
    const std::vector<upstream_group>& missed = found->second.unreachable;
    const auto reaches_all = [&missed](const relaying_host_view& item) {
        return std::none_of(missed.begin(), missed.end(),
            [&item](const upstream_group& group) { return contains(item.unreachable, group); });
    };
    // The latest reports: after a loss that many hosts share, older ones don't tell it yet.
    std::multimap<duration, relaying_host_view> latest;
    this->for_each_relaying_host(
        [this, &latest, &receiver, &reaches_all](const relaying_host_view& item) {
            if (item.host.id == receiver || !reaches_all(item)) {
                return;
            }
            latest.emplace(item.age, item);
            if (latest.size() > this->settings.max_relaying_hosts_per_report) {
                latest.erase(std::prev(latest.end()));
            }
        },
        now);
    for (const auto& [age, item] : latest) {
        report.relaying_hosts.push_back(item.copy());
    }
}

void host_table::merge_relaying_hosts(const std::vector<relaying_host>& told, time_point now)
{
    for (const relaying_host& item : told) {
        const time_point heard = now - item.age;
        const auto known = this->told_relaying.find(item.host.id);
        const bool is_newer = known == this->told_relaying.end() || known->second.heard < heard;
        if (item.host.id != this->own().id && is_newer) {
            this->told_relaying[item.host.id] = {item, heard};
        }
    }
}

void host_table::note_unreachable_group(const host_id& id, const upstream_group& group, time_point now)
{
    const auto add = [&group](std::vector<upstream_group>& known) {
        if (!contains(known, group)) {
            known.push_back(group);
        }
    };
    if (const auto found = this->others.find(id); found != this->others.end()) {
        add(found->second.unreachable);
    }
    if (const auto told = this->told_relaying.find(id); told != this->told_relaying.end()) {
        add(told->second.item.unreachable);
        told->second.heard = now; // what others tell of it is older
    }
}

std::size_t host_table::count_hosts_with_unreachable(time_point now) const
{
    const auto count = std::count_if(this->others.begin(), this->others.end(), [this, now](const auto& item) {
        return !item.second.unreachable.empty() && this->is_up(item.second, now);
    });
    return static_cast<std::size_t>(count);
}

bool host_table::is_alive(const host_id& id, time_point now) const
{
    const auto found = this->others.find(id);
    if (found != this->others.end() && found->second.is_partner && found->second.heard) {
        return now - *found->second.heard < this->turns_timeout();
    }
    const auto known = this->members.others().find(id);
    return !this->is_full_mesh() && known != this->members.others().end() && !known->second.down_since;
}

bool host_table::has_host_at(const endpoint& address) const
{
    const auto without_port = [](const endpoint& item) {
        return std::string_view(item.value()).substr(0, item.value().rfind(':'));
    };
    const std::string_view wanted = without_port(address);
    const auto& known = this->members.others();
    return std::any_of(known.begin(), known.end(), [&wanted, &without_port](const auto& item) {
        return without_port(item.second.state.host.address) == wanted;
    });
}

void host_table::merge_states(const std::vector<host_state>& news, time_point now)
{
    for (const host_state& item : news) {
        this->merge_state(item, membership::propagation::not_forwarded, now);
    }
}

void host_table::merge_state(const host_state& news, membership::propagation use, time_point now)
{
    this->members.take(news, use, now);
    const auto known = this->members.others().find(news.host.id);
    const auto place = this->others.find(news.host.id);
    if (known == this->members.others().end() || place == this->others.end()) {
        return;
    }
    // Newer than its own last report or record: the host may have restarted at another address.
    if (known->second.state.incarnation > known->second.heard) {
        place->second.host = known->second.state.host;
    }
}

void host_table::forget_old(time_point now)
{
    std::erase_if(this->others, [this, now](const auto& item) {
        const bool is_old =
            now - item.second.heard.value_or(item.second.added) > this->settings.forget_timeout;
        if (is_old && item.second.is_partner) {
            this->members.forget(item.first);
        }
        return is_old;
    });
    this->members.remove_expired_down(now);
    std::erase_if(this->told_relaying,
        [limit = now - this->turns_timeout()](const auto& item) { return item.second.heard < limit; });
}

void host_table::select_partners(time_point now)
{
    if (this->partners_version == this->members.version()) {
        return;
    }
    this->partners_version = this->members.version();
    if (!this->is_full_mesh()) {
        this->select_partners_of_large_fleet(now);
        return;
    }
    for (const auto& [id, known] : this->members.others()) {
        this->find_or_add(known.state.host, now).is_partner = true;
    }
}

void host_table::select_partners_of_large_fleet(time_point now)
{
    std::vector<std::pair<std::uint64_t, const known_host*>> near;
    std::vector<std::pair<std::uint64_t, const known_host*>> far;
    const std::uint64_t seed = stable_hash(this->own().id.value());
    for (const auto& [id, known] : this->members.others()) {
        if (known.down_since) {
            continue;
        }
        const bool is_near = known.state.host.data_hall == this->own().data_hall;
        (is_near ? near : far).emplace_back(stable_hash(id.value(), seed), &known.state.host);
    }
    std::sort(near.begin(), near.end());
    std::sort(far.begin(), far.end());
    const std::size_t most = this->settings.max_partners;
    const std::size_t least_near = most - std::min(most, far.size());
    const std::size_t near_count =
        std::min(near.size(), std::max(this->settings.partners_of_own_hall, least_near));
    near.resize(near_count);
    far.resize(std::min(far.size(), most - near_count));
    std::set<host_id> former;
    for (auto& [id, item] : this->others) {
        if (std::exchange(item.is_partner, false)) {
            former.insert(id);
        }
    }
    for (const auto* hosts : {&near, &far}) {
        for (const auto& [turn, host] : *hosts) {
            entry& item = this->find_or_add(*host, now);
            item.is_partner = true;
            if (former.count(host->id) == 0 && !this->is_live(item, now)) {
                // It was not monitored before; until its turn the reports of others are used.
                item.heard.reset();
                item.asked = {};
                item.added = now;
            }
        }
    }
}

void host_table::detect_unreachable_partners(time_point now)
{
    if (now - this->last_round > this->settings.answer_timeout) {
        this->awake_since = now; // this host itself was suspended
    }
    this->last_round = now;
    if (this->is_new(now) || now - this->awake_since < this->settings.unreachable_timeout) {
        return;
    }
    time_point last_heard{};
    for (const auto& [id, item] : this->others) {
        last_heard = std::max(last_heard, item.heard.value_or(last_heard));
    }
    for (const auto& [id, item] : this->others) {
        const bool is_unanswered = item.asked > item.heard.value_or(time_point{});
        const bool are_others_heard = last_heard > item.asked;
        if (item.is_partner && is_unanswered && are_others_heard
            && now - item.asked >= this->settings.unreachable_timeout) {
            this->members.note_unreachable(id, now);
        }
    }
}

std::optional<known_host> host_table::next_down_host()
{
    const std::map<host_id, member>& all = this->members.others();
    auto item = all.upper_bound(this->last_down_host_queried);
    for (std::size_t looked = 0; looked < all.size(); ++looked, ++item) {
        if (item == all.end()) {
            item = all.begin();
        }
        if (item->second.down_since) {
            this->last_down_host_queried = item->first;
            return item->second.state.host;
        }
    }
    return std::nullopt;
}

std::vector<host_table::entry*> host_table::list_due(time_point now)
{
    std::vector<entry*> due;
    for (auto& [id, item] : this->others) {
        if (item.is_partner && now - item.asked >= this->ask_interval(item, now)) {
            due.push_back(&item);
        }
    }
    const bool is_standby = this->is_duty_standby();
    const auto rank_of = [is_standby, own = duty_order(this->own().id)](const entry* item) {
        const bool is_watched = is_standby && item->heard && duty_order(item->host.id) < own;
        return std::tuple(!is_watched, item->asked, item->turn);
    };
    std::sort(due.begin(), due.end(),
        [&rank_of](const entry* left, const entry* right) { return rank_of(left) < rank_of(right); });
    return due;
}

std::vector<known_host> host_table::select_hosts_to_query(time_point now)
{
    this->forget_old(now);
    this->detect_unreachable_partners(now);
    this->select_partners(now);
    std::vector<known_host> asked;
    if (!this->is_full_mesh()) {
        if (const std::optional<known_host> gone = this->next_down_host()) {
            asked.push_back(*gone);
        }
    }
    for (entry* item : this->list_due(now)) {
        if (asked.size() >= this->settings.max_queries_per_round) {
            break;
        }
        item->asked = now;
        asked.push_back(item->host);
    }
    return asked;
}

std::vector<known_host> host_table::live_hosts(time_point now) const
{
    std::vector<known_host> live = {this->own()};
    for (const auto& [id, item] : this->others) {
        if (this->is_live(item, now)) {
            live.push_back(item.host);
        }
    }
    std::sort(live.begin(), live.end(),
        [](const known_host& left, const known_host& right) { return left.id < right.id; });
    return live;
}

std::size_t host_table::live_count(time_point now) const
{
    const auto count = std::count_if(this->others.begin(), this->others.end(),
        [this, now](const auto& item) { return this->is_live(item.second, now); });
    return 1 + static_cast<std::size_t>(count);
}

const host_table::entry* host_table::find_monitored(const host_id& id) const
{
    const auto found = this->others.find(id);
    if (found == this->others.end()) {
        return nullptr;
    }
    const bool is_monitored = this->is_full_mesh() || (found->second.is_partner && found->second.heard);
    return is_monitored ? &found->second : nullptr;
}

bool host_table::is_present(const host_id& id, const member& known, time_point now) const
{
    const entry* item = this->find_monitored(id);
    if (item == nullptr) {
        return !this->is_full_mesh() && !known.down_since && !known.state.is_leaving;
    }
    if (!this->is_full_mesh() && known.down_since && *known.down_since > *item->heard) {
        return false;
    }
    return this->is_up(*item, now);
}

bool host_table::is_ranked(const host_id& id, const member& known, bool is_watched, time_point now) const
{
    if (!this->is_full_mesh()) {
        return this->is_present(id, known, now);
    }
    const entry* item = this->find_monitored(id);
    return item != nullptr && (is_watched ? this->is_live(*item, now) : this->is_live_by_turns(*item, now));
}

bool host_table::reads_store(const host_id& id, const member& known) const
{
    const entry* item = this->find_monitored(id);
    return item != nullptr ? item->reads_store : known.state.reads_store;
}

std::vector<host_id> host_table::present_ids(time_point now) const
{
    std::vector<host_id> present = {this->own().id};
    for (const auto& [id, known] : this->members.others()) {
        if (this->is_present(id, known, now)) {
            present.push_back(id);
        }
    }
    return present;
}

double host_table::present_share_of_own_hall(time_point now) const
{
    double near = 1; // this host
    double all = 1;
    for (const auto& [id, known] : this->members.others()) {
        if (this->is_present(id, known, now)) {
            ++all;
            near += known.state.host.data_hall == this->own().data_hall ? 1 : 0;
        }
    }
    return near / all;
}

std::size_t host_table::present_count(time_point now) const
{
    const std::map<host_id, member>& all = this->members.others();
    const auto count = std::count_if(all.begin(), all.end(),
        [this, now](const auto& item) { return this->is_present(item.first, item.second, now); });
    return 1 + static_cast<std::size_t>(count);
}

const known_host* host_table::find(const host_id& id) const
{
    const auto heard = this->others.find(id);
    if (heard != this->others.end()) {
        return &heard->second.host;
    }
    const auto known = this->members.others().find(id);
    return known == this->members.others().end() ? nullptr : &known->second.state.host;
}

std::size_t host_table::recently_present_count(time_point now, duration within) const
{
    const auto was_there = [this, now, within](const auto& item) {
        if (this->is_full_mesh()) {
            const auto found = this->others.find(item.first);
            return found != this->others.end() && found->second.heard && now - *found->second.heard < within;
        }
        return !item.second.down_since || now - *item.second.down_since < within;
    };
    const std::map<host_id, member>& all = this->members.others();
    return 1 + static_cast<std::size_t>(std::count_if(all.begin(), all.end(), was_there));
}

std::size_t host_table::own_rank(time_point now) const
{
    const std::vector<known_host> live = this->live_hosts(now);
    const auto own = std::find_if(
        live.begin(), live.end(), [this](const known_host& host) { return host.id == this->own().id; });
    return static_cast<std::size_t>(own - live.begin());
}

std::optional<std::size_t> host_table::rank_among_store_readers(bool reads_store, std::size_t enough,
    const std::function<bool(const host_id&, const member&)>& is_there,
    const std::function<bool(const host_id&)>& is_before) const
{
    bool does_any_read_store = reads_store;
    std::size_t readers_before = 0;
    std::size_t before = 0;
    for (const auto& [id, known] : this->members.others()) {
        if (!is_there(id, known)) {
            continue;
        }
        const bool is_store_reader = this->reads_store(id, known);
        does_any_read_store = does_any_read_store || is_store_reader;
        readers_before += is_before(id) && is_store_reader ? 1 : 0;
        before += is_before(id) ? 1 : 0;
        if (readers_before >= enough) {
            break;
        }
    }
    if (reads_store != does_any_read_store) {
        return std::nullopt;
    }
    return does_any_read_store ? readers_before : before;
}

bool host_table::is_reader(bool reads_store, time_point now) const
{
    const std::optional<std::size_t> rank = this->rank_among_store_readers(
        reads_store, this->settings.reader_count,
        [this, now](
            const host_id& id, const member& known) { return this->is_ranked(id, known, false, now); },
        [this](const host_id& id) { return id < this->own().id; });
    return rank && *rank < this->settings.reader_count;
}

bool host_table::is_duty_standby() const
{
    if (!this->is_full_mesh()) {
        return false; // the reports of others arrive as soon
    }
    const auto before = std::count_if(
        this->others.begin(), this->others.end(), [own = duty_order(this->own().id)](const auto& item) {
            return item.second.heard && duty_order(item.first) < own;
        });
    return static_cast<std::size_t>(before) < this->settings.duty_standbys;
}

bool host_table::is_duty_candidate(bool reads_store, time_point now) const
{
    const bool is_standby = this->is_duty_standby();
    const std::optional<std::size_t> rank = this->rank_among_store_readers(
        reads_store, this->settings.duty_candidates,
        [this, now, is_standby](
            const host_id& id, const member& known) { return this->is_ranked(id, known, is_standby, now); },
        [own = duty_order(this->own().id)](const host_id& id) { return duty_order(id) < own; });
    return rank && *rank < this->settings.duty_candidates;
}

void host_table::fill_report(peer_report& report, const host_id& receiver, time_point now)
{
    report.sender = this->own();
    report.incarnation = this->members.own().incarnation;
    report.hosts_digest = this->members.digest();
    report.news = this->members.next_updates(receiver);
    this->fill_relaying_hosts(report, receiver, now);
}

bool host_table::is_waiting_for_turn(const entry& item, time_point now) const
{
    const bool is_unanswered =
        item.heard && item.asked > *item.heard && now - item.asked >= this->settings.answer_timeout;
    return this->is_live_by_turns(item, now) && !this->is_live(item, now) && !is_unanswered;
}

void host_table::visit_up_hosts(
    const std::function<void(const known_host&, const entry* heard)>& visit, time_point now) const
{
    for (const auto& [id, known] : this->members.others()) {
        const auto found = this->others.find(id);
        const bool is_heard = found != this->others.end() && found->second.heard
            && now - *found->second.heard < this->settings.heartbeat_timeout;
        if (is_heard) {
            visit(found->second.host, &found->second);
        } else if (this->is_present(id, known, now)) {
            visit(known.state.host, nullptr);
        }
    }
}

std::map<upstream_id, upstream_work> host_table::sum_work(time_point now) const
{
    work_sum near;
    work_sum far;
    const auto take = [this, &near, &far](const known_host& host, const entry* heard) {
        work_sum& sum = host.data_hall == this->own().data_hall ? near : far;
        if (heard == nullptr) {
            ++sum.hosts.awaited;
        } else {
            sum.add(heard->work);
        }
    };
    this->visit_up_hosts(take, now);
    std::map<upstream_id, upstream_work> total;
    near.add_to(total);
    far.add_to(total);
    return total;
}

load_summary host_table::sum_load(time_point now) const
{
    load_summary heard_load;
    host_count hosts;
    const auto take = [&heard_load, &hosts](const known_host&, const entry* heard) {
        if (heard == nullptr) {
            ++hosts.awaited;
        } else {
            ++hosts.heard;
            heard_load.add(heard->load);
        }
    };
    this->visit_up_hosts(take, now);
    load_summary total;
    total.add(heard_load, hosts.factor());
    return total;
}

} // namespace sailtiller
