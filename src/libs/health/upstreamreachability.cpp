// SPDX-License-Identifier: Apache-2.0
#include <health/upstreamreachability.h>

#include <algorithm>
#include <iterator>

namespace sailtiller {

upstream_reachability::upstream_reachability(
    upstream_reachability_settings settings, upstream_reachability_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{
}

const upstream_reachability::group_state* upstream_reachability::find(const upstream_group& group) const
{
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? nullptr : &found->second;
}

bool upstream_reachability::is_reachable(const upstream_group& group) const
{
    return !this->unreachable_since(group);
}

std::optional<time_point> upstream_reachability::unreachable_since(const upstream_group& group) const
{
    const group_state* state = this->find(group);
    return state == nullptr ? std::nullopt : state->unreachable_since;
}

bool upstream_reachability::is_service_reachable(const service_id& service) const
{
    bool has_unreachable = false;
    for (const auto& [group, state] : this->groups) {
        has_unreachable = has_unreachable || (group.service == service && state.unreachable_since);
    }
    if (!has_unreachable) {
        return true; // the usual case, without a look at the directory
    }
    const std::vector<upstream_group> known = this->hooks.list_groups();
    return std::any_of(known.begin(), known.end(), [this, &service](const upstream_group& group) {
        return group.service == service && this->is_reachable(group);
    });
}

bool upstream_reachability::is_doubtful(const upstream_group& group) const
{
    const group_state* state = this->find(group);
    if (state == nullptr) {
        return false;
    }
    const time_point oldest = this->hooks.timers.now() - this->settings.failure_memory;
    return state->unreachable_since
        || std::any_of(state->failed.begin(), state->failed.end(),
            [oldest](const auto& item) { return item.second >= oldest; });
}

std::vector<upstream_group> upstream_reachability::unreachable_groups() const
{
    std::vector<upstream_group> list;
    for (const auto& [group, state] : this->groups) {
        if (state.unreachable_since) {
            list.push_back(group);
        }
    }
    return list;
}

std::vector<upstream_group> upstream_reachability::list_siblings(const upstream_group& group) const
{
    std::vector<upstream_group> list = this->hooks.list_groups();
    std::erase_if(list,
        [&group](const upstream_group& other) { return other == group || other.service != group.service; });
    return list;
}

void upstream_reachability::note_connected(const upstream_id& id, const upstream_group& group)
{
    group_state& state = this->groups[group];
    state.last_connected = this->hooks.timers.now();
    state.failed.clear();
    if (!state.unreachable_since) {
        return;
    }
    state.connected_again.insert(id);
    const std::size_t needed = std::min(this->settings.min_connected, this->hooks.list_members(group).size());
    if (state.connected_again.size() >= needed) {
        state.unreachable_since.reset();
        state.connected_again.clear();
        this->hooks.on_change(group, true);
    }
}

void upstream_reachability::note_failed(
    const upstream_id& id, const upstream_group& group, time_point began, duration limit)
{
    this->record_failure(id, group, began, limit);
    this->check(group);
    this->settle(group);
}

void upstream_reachability::record_failure(
    const upstream_id& id, const upstream_group& group, time_point began, duration limit)
{
    group_state& state = this->groups[group];
    const time_point now = this->hooks.timers.now();
    const bool was_stalled = now - began > limit + this->settings.late_timer_margin;
    const bool has_connected_since = state.last_connected && *state.last_connected >= began;
    const std::vector<upstream_id> members = this->hooks.list_members(group);
    const bool has_left = std::find(members.begin(), members.end(), id) == members.end();
    if (was_stalled || has_connected_since || has_left) {
        return;
    }
    std::erase_if(state.failed,
        [oldest = now - this->settings.failure_memory](const auto& item) { return item.second < oldest; });
    state.failed[id] = now;
    state.connected_again.clear();
}

void upstream_reachability::check(const upstream_group& group)
{
    group_state& state = this->groups[group];
    if (state.failed.empty() || state.unreachable_since) {
        return;
    }
    std::vector<upstream_id> members = this->hooks.list_members(group);
    const std::size_t needed = std::min(this->settings.min_failed, members.size());
    std::erase_if(members,
        [&state](const upstream_id& id) { return state.failed.contains(id) || state.checking.contains(id); });
    while (!members.empty() && state.failed.size() + state.checking.size() < needed) {
        const auto chosen =
            members.begin() + static_cast<std::ptrdiff_t>(this->hooks.random() % members.size());
        this->start_check(*chosen, group);
        members.erase(chosen);
    }
    if (needed == 1) {
        // A lone upstream that can't be connected may be dead; the other halls of its service tell.
        for (const upstream_group& sibling : this->list_siblings(group)) {
            const group_state& other = this->groups[sibling];
            const std::vector<upstream_id> candidates = this->hooks.list_members(sibling);
            if (!other.unreachable_since && other.checking.empty() && other.failed.empty()
                && !candidates.empty()) {
                this->start_check(candidates[this->hooks.random() % candidates.size()], sibling);
            }
        }
    }
}

void upstream_reachability::start_check(const upstream_id& id, const upstream_group& group)
{
    this->groups[group].checking.insert(id);
    const time_point began = this->hooks.timers.now();
    this->hooks.connect(id, this->settings.check_limit, [this, id, group, began](bool is_made) {
        this->groups[group].checking.erase(id);
        if (is_made) {
            this->note_connected(id, group);
        } else {
            this->record_failure(id, group, began, this->settings.check_limit);
            this->check(group);
        }
        this->settle(group);
    });
}

void upstream_reachability::settle(const upstream_group& group)
{
    this->evaluate(group);
    for (const upstream_group& sibling : this->list_siblings(group)) {
        this->evaluate(sibling);
    }
    this->run_settled_actions();
}

void upstream_reachability::evaluate(const upstream_group& group)
{
    group_state& state = this->groups[group];
    if (state.unreachable_since || state.failed.empty() || !this->is_settled(group)) {
        return;
    }
    if (!this->has_failed(group, state)) {
        state.failed.clear(); // others were connected
        return;
    }
    state.unreachable_since = this->hooks.timers.now();
    state.connected_again.clear();
    this->hooks.on_change(group, false);
    this->schedule_recheck();
    this->check_others(group);
}

bool upstream_reachability::has_failed(const upstream_group& group, const group_state& state) const
{
    const std::size_t members = this->hooks.list_members(group).size();
    if (state.failed.size() < std::min(this->settings.min_failed, members)) {
        return false;
    }
    if (members > 1) {
        return true;
    }
    const std::vector<upstream_group> siblings = this->list_siblings(group);
    return std::all_of(siblings.begin(), siblings.end(), [this](const upstream_group& sibling) {
        const group_state* other = this->find(sibling);
        return other != nullptr && (other->unreachable_since || !other->failed.empty());
    });
}

void upstream_reachability::check_others(const upstream_group& group)
{
    const time_point now = this->hooks.timers.now();
    for (const upstream_group& other : this->hooks.list_groups()) {
        group_state& state = this->groups[other];
        const bool is_known = state.unreachable_since || !state.checking.empty()
            || (state.last_connected && now - *state.last_connected <= this->settings.check_limit);
        const std::vector<upstream_id> members = this->hooks.list_members(other);
        if (other != group && !is_known && !members.empty()) {
            this->start_check(members[this->hooks.random() % members.size()], other);
        }
    }
}

bool upstream_reachability::is_settled(const upstream_group& group) const
{
    const auto has_checks = [this](const upstream_group& item) {
        const group_state* state = this->find(item);
        return state != nullptr && !state->unreachable_since && !state->checking.empty();
    };
    if (has_checks(group)) {
        return false;
    }
    if (this->hooks.list_members(group).size() > 1) {
        return true;
    }
    const std::vector<upstream_group> siblings = this->list_siblings(group);
    return std::none_of(siblings.begin(), siblings.end(), has_checks);
}

void upstream_reachability::when_settled(const upstream_group& group, std::function<void()> action)
{
    if (this->is_settled(group)) {
        action();
        return;
    }
    this->waiting.push_back({group, std::move(action)});
}

void upstream_reachability::run_settled_actions()
{
    const auto first_due = std::stable_partition(this->waiting.begin(), this->waiting.end(),
        [this](const waiting_action& item) { return !this->is_settled(item.group); });
    const std::vector<waiting_action> due(
        std::make_move_iterator(first_due), std::make_move_iterator(this->waiting.end()));
    this->waiting.erase(first_due, this->waiting.end());
    for (const waiting_action& item : due) {
        item.action();
    }
}

void upstream_reachability::schedule_recheck()
{
    if (!this->is_recheck_scheduled) {
        this->is_recheck_scheduled = true;
        this->hooks.timers.schedule_after(this->settings.recheck_interval, [this] { this->recheck(); });
    }
}

void upstream_reachability::recheck()
{
    this->is_recheck_scheduled = false;
    const std::vector<upstream_group> unreachable = this->unreachable_groups();
    if (!unreachable.empty()) {
        this->schedule_recheck();
    }
    for (const upstream_group& group : unreachable) {
        std::vector<upstream_id> members = this->hooks.list_members(group);
        if (members.empty()) {
            this->groups.erase(group); // its upstreams are gone
            this->hooks.on_change(group, true);
            continue;
        }
        for (std::size_t count = 0; count < this->settings.min_connected && !members.empty(); ++count) {
            const auto chosen =
                members.begin() + static_cast<std::ptrdiff_t>(this->hooks.random() % members.size());
            this->start_check(*chosen, group);
            members.erase(chosen);
        }
    }
}

} // namespace sailtiller
