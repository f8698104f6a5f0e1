// SPDX-License-Identifier: Apache-2.0
#include <health/upstreamprobes.h>

#include <algorithm>
#include <vector>

namespace sailtiller {

upstream_probes::upstream_probes(upstream_probe_settings settings, upstream_probe_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , budget{settings.burst, {}}
    , unreachable_budget{settings.burst, {}}
{
}

duration upstream_probes::answer_limit() const
{
    if (!this->answer_time.has_value()) {
        return this->settings.first_answer_limit;
    }
    const duration usual(static_cast<duration::rep>(this->answer_time.bound(timeout_deviations)));
    return std::clamp(usual, this->settings.min_answer_limit, this->settings.max_answer_limit);
}

bool upstream_probes::take_from(probe_budget& budget, time_point now) const
{
    const std::chrono::duration<double> passed = now - budget.filled;
    const double rate = this->settings.fleet_probes_per_s / static_cast<double>(this->live_hosts);
    budget.left = std::min(this->settings.burst, budget.left + passed.count() * rate);
    budget.filled = now;
    if (budget.left < 1) {
        return false;
    }
    budget.left -= 1;
    return true;
}

bool upstream_probes::ask(const upstream_id& id)
{
    const time_point now = this->hooks.timers.now();
    const auto quiet = this->no_probe_before.find(id);
    if (this->is_dead(id) || this->is_asked(id)
        || (quiet != this->no_probe_before.end() && quiet->second > now)) {
        return false;
    }
    if (!this->take_from(this->budget, now)) {
        return false;
    }
    this->send(id);
    return true;
}

bool upstream_probes::ask_unreachable(const upstream_id& id)
{
    const time_point now = this->hooks.timers.now();
    const bool was_asked =
        this->no_unreachable_probe_before.count(id) != 0 && this->no_unreachable_probe_before.at(id) > now;
    if (this->is_dead(id) || this->is_asked(id) || was_asked
        || !this->take_from(this->unreachable_budget, now)) {
        return false;
    }
    this->no_unreachable_probe_before[id] = now + this->settings.pause;
    this->send(id);
    return true;
}

void upstream_probes::send(const upstream_id& id)
{
    const time_point now = this->hooks.timers.now();
    this->no_probe_before[id] = now + this->settings.pause;
    this->asked[id] = {now, now + this->answer_limit(), 0, false};
    this->hooks.send(
        id, [this, id, now](const std::optional<double>& pace) { this->handle_answer(id, now, pace); });
}

void upstream_probes::handle_answer(const upstream_id& id, time_point sent, const std::optional<double>& pace)
{
    const auto pending = this->asked.find(id);
    const bool is_awaited = pending != this->asked.end() && pending->second.sent == sent;
    if (!pace) {
        if (is_awaited) {
            pending->second.is_over = true; // evaluated when due, or at the next check
        }
        return;
    }
    const time_point now = this->hooks.timers.now();
    this->answer_time.note(static_cast<double>((now - sent).count()));
    if (this->last_answer && this->last_answer->first != id) {
        this->other_answer = this->last_answer;
    }
    this->last_answer = {id, now};
    if (is_awaited) {
        this->asked.erase(pending);
    }
    this->no_probe_before[id] = now + this->settings.alive_probe_interval;
    this->mark_alive(id, *pace);
}

void upstream_probes::mark_alive(const upstream_id& id, double pace)
{
    this->dead.erase(id);
    if (pace >= this->settings.slow_pace) {
        this->slow[id] = this->hooks.timers.now() + this->settings.slow_interval;
    } else {
        this->slow.erase(id);
    }
    this->hooks.on_alive(id, pace);
}

void upstream_probes::look()
{
    const time_point now = this->hooks.timers.now();
    const auto is_past = [now](const auto& item) { return item.second <= now; };
    std::erase_if(this->no_probe_before, is_past);
    std::erase_if(this->no_unreachable_probe_before, is_past);
    std::vector<upstream_id> due;
    for (const auto& [id, probe] : this->asked) {
        if (probe.due <= now) {
            due.push_back(id);
        }
    }
    std::erase_if(due, [this, now](const upstream_id& id) { return !this->judge(id, now); });
    if (!due.empty()) {
        this->mark_dead(due);
    }
    this->reprobe_dead(now);
    this->reprobe_slow(now);
}

bool upstream_probes::has_sign_of_other_upstream(const upstream_id& id, time_point since) const
{
    const auto speaks = [&id, since](const auto& answer) {
        return answer && answer->first != id && answer->second >= since;
    };
    return speaks(this->last_answer) || speaks(this->other_answer)
        || this->hooks.has_other_progressed(id, since);
}

bool upstream_probes::judge(const upstream_id& id, time_point now)
{
    pending_probe& probe = this->asked[id];
    if (this->hooks.has_progressed(id, probe.sent)) {
        this->asked.erase(id); // the answer was lost, but a stream progresses over the upstream
        return false;
    }
    if (this->has_sign_of_other_upstream(id, probe.sent)) {
        return true;
    }
    ++probe.extensions;
    if (probe.extensions <= this->settings.max_extensions) {
        probe.due = now + this->answer_limit();
        this->probe_other(id);
        return false;
    }
    // No upstream gives a sign of life. If there are others, this host has lost its connectivity.
    if (this->hooks.find_other(id)) {
        this->asked.erase(id);
        return false;
    }
    return true;
}

void upstream_probes::probe_other(const upstream_id& id)
{
    const std::optional<upstream_id> other = this->hooks.find_other(id);
    if (other && !this->is_asked(*other)) {
        this->send(*other);
    }
}

void upstream_probes::mark_dead(const std::vector<upstream_id>& ids)
{
    const time_point now = this->hooks.timers.now();
    for (const upstream_id& id : ids) {
        this->asked.erase(id);
        this->dead[id] = {now, now + this->settings.dead_interval};
    }
    this->hooks.on_dead(ids);
}

void upstream_probes::reprobe_dead(time_point now)
{
    std::vector<upstream_id> due;
    for (auto& [id, item] : this->dead) {
        if (item.next_probe <= now && !this->is_asked(id) && this->hooks.is_assigned_prober(id)) {
            item.next_probe = now + this->settings.dead_interval;
            due.push_back(id);
        }
    }
    std::erase_if(this->dead, [this, now](const auto& item) {
        return now - item.second.since >= this->settings.unassigned_verdict_time
            && !this->hooks.is_assigned_prober(item.first);
    });
    for (const upstream_id& id : due) {
        this->send(id);
    }
}

void upstream_probes::reprobe_slow(time_point now)
{
    std::vector<upstream_id> due;
    for (auto& [id, next] : this->slow) {
        if (next <= now && this->hooks.is_assigned_prober(id) && !this->is_asked(id)) {
            next = now + this->settings.slow_interval;
            due.push_back(id);
        }
    }
    for (const upstream_id& id : due) {
        this->send(id);
    }
}

void upstream_probes::extend_deadlines(duration stall_time)
{
    for (auto& [id, probe] : this->asked) {
        probe.due += stall_time;
    }
}

void upstream_probes::note_reported_dead(const upstream_id& id)
{
    const time_point now = this->hooks.timers.now();
    const auto known = this->dead.find(id);
    if (known != this->dead.end()) {
        known->second.since = now;
    } else if (this->hooks.is_assigned_prober(id)) {
        this->ask(id);
    }
}

void upstream_probes::note_reported_alive(const upstream_id& id, double pace, time_point at)
{
    const auto known = this->dead.find(id);
    if (known != this->dead.end() && known->second.since >= at) {
        return; // the verdict of this host is newer
    }
    const time_point quiet = at + this->settings.alive_probe_interval;
    if (quiet > this->hooks.timers.now()) {
        time_point& until = this->no_probe_before[id];
        until = std::max(until, quiet);
    }
    this->mark_alive(id, pace);
}

void upstream_probes::forget(const std::function<bool(const upstream_id&)>& is_known)
{
    const auto is_gone = [&is_known](const auto& item) { return !is_known(item.first); };
    std::erase_if(this->dead, is_gone);
    std::erase_if(this->slow, is_gone);
}

} // namespace sailtiller
