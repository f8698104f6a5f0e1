// SPDX-License-Identifier: Apache-2.0
#include "upstreamhealth.h"

#include <fleet/ownership.h>
#include <runtime/eventlog.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// Hosts that go on probing a dead or slow upstream for all others: a second one covers the time until the
/// first is missed.
constexpr std::size_t watcher_count = 2;
/// How long an answer to a probe is told to other hosts: some rounds of reports.
constexpr duration answer_told_time = std::chrono::milliseconds(1500);
/// Between two looks at upstreams whose silence shows nothing yet; checks of connections take 60 ms.
constexpr duration decision_interval = std::chrono::milliseconds(20);
/// A change of an engine's pace that is worth a line in the log.
constexpr double pace_margin = 0.5;

} // namespace

upstream_health::upstream_health(event_loop& loop, upstream_link& link, const upstream_directory& upstreams,
    engine_loads& loads, host_id self, duration death_suspension, upstream_health_hooks hooks)
    : loop(loop)
    , link(link)
    , upstreams(upstreams)
    , loads(loads)
    , self(std::move(self))
    , death_suspension(death_suspension)
    , hooks(std::move(hooks))
    , watch({}, this->make_watch_hooks())
{
}

void upstream_health::start()
{
    this->watch.start();
}

void upstream_health::ask(const upstream_id& id)
{
    this->probe(id, [](const std::optional<double>&) {});
}

void upstream_health::forget(const std::function<bool(const upstream_id&)>& is_known)
{
    this->watch.forget(is_known);
    this->told.forget(is_known);
    const time_point now = this->loop.now();
    std::erase_if(this->answers, [now](const auto& item) { return now - item.second.at > answer_told_time; });
}

void upstream_health::set_live_hosts(std::vector<host_id> hosts)
{
    this->told.set_live_hosts(hosts.size());
    this->watch.prober().set_live_hosts(hosts.size());
    this->live_hosts = std::move(hosts);
}

bool upstream_health::is_assigned_prober(const upstream_id& id) const
{
    return this->live_hosts.empty()
        || is_among_owners(id.value(), this->live_hosts, this->self, watcher_count);
}

void upstream_health::fill_report(peer_report& report) const
{
    const time_point now = this->loop.now();
    for (const auto& [id, load] : this->loads.all()) {
        const duration left = load.failed_until - now;
        if (left > duration::zero() && this->hooks.judge_silence(id) == probe_evidence::of_death) {
            report.suspicions.push_back({id, left});
        }
        const duration unwilling = load.unwilling_until - now;
        if (unwilling > duration::zero()) {
            report.unwilling.push_back({id, unwilling});
        }
    }
    for (const auto& [id, answer] : this->answers) {
        if (now - answer.at <= answer_told_time && !this->is_outdated(id, answer.at)) {
            report.signs.push_back({id, answer.pace, now - answer.at});
        }
    }
}

void upstream_health::take_report(const peer_report& report)
{
    for (const upstream_suspicion& item : report.suspicions) {
        this->take_suspicion(item, report.sender.id);
    }
    const time_point now = this->loop.now();
    for (const upstream_suspicion& item : report.unwilling) {
        this->loads.avoid(item.id, now + item.left);
    }
    for (const upstream_probe_result& sign : report.signs) {
        const time_point at = now - sign.age;
        if (!this->is_outdated(sign.id, at)) {
            this->told.clear(sign.id);
            this->watch.prober().note_reported_alive(sign.id, sign.pace, at);
        }
    }
}

bool upstream_health::is_outdated(const upstream_id& id, time_point at) const
{
    const engine_load& load = this->loads.of(id);
    const time_point judged_dead = std::max(load.failed_until, load.reported_until) - this->death_suspension;
    return at <= std::max(judged_dead, load.unreachable_since);
}

void upstream_health::note_way_changed(const upstream_group& group)
{
    for (const auto& [id, entry] : this->upstreams.entries()) {
        if (entry.upstream.service == group.service && entry.upstream.data_hall == group.data_hall) {
            this->loads.forget_unreachable(id);
        }
    }
}

void upstream_health::take_suspicion(const upstream_suspicion& item, const host_id& reporter)
{
    // Streams that move over it say that only the other host can't reach it.
    if (this->watch.is_progressing(item.id)) {
        return;
    }
    const time_point now = this->loop.now();
    if (const std::optional<time_point> until = this->told.note(item.id, reporter, now + item.left, now)) {
        this->loads.suspend_on_report(item.id, *until);
        this->watch.prober().note_reported_dead(item.id);
    }
}

stall_detector_hooks upstream_health::make_watch_hooks()
{
    stall_detector_hooks watch_hooks;
    watch_hooks.timers = this->loop.hooks();
    watch_hooks.probe = [this](const upstream_id& id,
                            const std::function<void(std::optional<double>)>& on_answer) {
        this->probe(id, on_answer);
    };
    watch_hooks.find_other = [this](const upstream_id& id) { return this->find_other(id); };
    watch_hooks.is_assigned_prober = [this](const upstream_id& id) { return this->is_assigned_prober(id); };
    watch_hooks.on_dead = [this](const std::vector<upstream_id>& ids) { this->take_deaths(ids); };
    watch_hooks.on_alive = [this](const upstream_id& id, double pace) { this->take_pace(id, pace); };
    return watch_hooks;
}

std::optional<upstream_id> upstream_health::find_other(const upstream_id& id) const
{
    const time_point now = this->loop.now();
    const directory_entry* own = this->upstreams.find(id);
    std::optional<upstream_id> other;
    for (const auto& [name, entry] : this->upstreams.entries()) {
        const bool may_answer = name != id && !entry.upstream.held.is_empty() && !entry.is_lapsed
            && !entry.upstream.is_leaving && !this->loads.of(name).has_failed(now)
            && !this->watch.is_dead(name);
        if (!may_answer) {
            continue;
        }
        other = name;
        // Better one that shares no hall with it, as a hall may fall dark as a whole.
        if (own == nullptr || entry.upstream.data_hall != own->upstream.data_hall) {
            return other;
        }
    }
    return other;
}

void upstream_health::probe(
    const upstream_id& id, const std::function<void(std::optional<double> pace)>& on_answer)
{
    const directory_entry* entry = this->upstreams.find(id);
    if (entry == nullptr) {
        this->loop.post([on_answer] { on_answer(std::nullopt); });
        return;
    }
    this->link.probe({id, entry->upstream.address, {}}, this->watch.prober().answer_limit() / 2,
        [this, id, born = entry->upstream.born, on_answer](const std::optional<engine_report>& report) {
            if (report && (report->is_other_upstream || is_older_start(born, report->born))) {
                // Whoever answers there knows nothing of what the one that was asked for held.
                on_answer(std::nullopt);
                this->hooks.on_replaced(id);
                return;
            }
            if (report) {
                this->note_answer(id, *report);
            }
            on_answer(report ? std::optional(report->pace) : std::nullopt);
        });
}

void upstream_health::note_ended(const upstream_id& id)
{
    log_event(log_level::info, event_type::upstream_outlived, {{"peer", id.value()}});
    this->hooks.on_belief(event_type::upstream_outlived);
    this->loads.suspend(id, this->loop.now() + this->death_suspension);
    this->hooks.on_dead({id});
}

void upstream_health::note_answer(const upstream_id& id, const engine_report& report)
{
    this->answers[id] = {report.pace, this->loop.now()};
    this->told.clear(id);
    if (report.is_leaving) {
        this->hooks.on_leaving(id);
    }
    if (report.held) {
        this->hooks.on_held(id, *report.held);
    }
}

void upstream_health::take_deaths(const std::vector<upstream_id>& silent)
{
    std::vector<upstream_id> dead;
    for (const upstream_id& id : silent) {
        if (this->hooks.judge_silence(id) == probe_evidence::of_death) {
            dead.push_back(id);
        } else {
            this->undecided.insert(id);
        }
    }
    this->mark_dead(dead);
    this->schedule_decision();
}

void upstream_health::schedule_decision()
{
    if (!this->undecided.empty() && !this->is_decision_scheduled) {
        this->is_decision_scheduled = true;
        this->loop.schedule_after(decision_interval, [this] { this->decide(); });
    }
}

void upstream_health::decide()
{
    this->is_decision_scheduled = false;
    this->schedule_decision();
    std::vector<upstream_id> dead;
    const std::set<upstream_id> silent = this->undecided;
    for (const upstream_id& id : silent) {
        const probe_evidence evidence = this->hooks.judge_silence(id);
        if (this->watch.is_dead(id) && evidence == probe_evidence::none_yet) {
            continue;
        }
        this->undecided.erase(id);
        if (!this->watch.is_dead(id)) {
            continue; // it has answered, or its verdict has expired
        }
        if (evidence == probe_evidence::of_death) {
            dead.push_back(id);
        } else {
            this->probe_again(id);
        }
    }
    this->mark_dead(dead);
}

void upstream_health::probe_again(const upstream_id& id)
{
    const auto has_answered = std::make_shared<bool>(false);
    this->probe(id, [this, id, has_answered](const std::optional<double>& pace) {
        if (pace) {
            *has_answered = true;
            this->watch.prober().note_reported_alive(id, *pace, this->loop.now());
        }
    });
    // By way of another host an answer takes one more connection.
    this->loop.schedule_after(2 * this->watch.prober().answer_limit(), [this, id, has_answered] {
        if (!*has_answered && this->watch.is_dead(id)) {
            this->mark_dead({id});
        }
    });
}

void upstream_health::mark_dead(const std::vector<upstream_id>& ids)
{
    if (ids.empty()) {
        return;
    }
    for (const upstream_id& id : ids) {
        this->note_death(id);
    }
    this->hooks.on_dead(ids);
}

void upstream_health::note_death(const upstream_id& id)
{
    const time_point now = this->loop.now();
    const bool is_news = this->loads.of(id).failed_until <= now;
    this->hooks.on_belief(is_news ? event_type::upstream_dead : event_type::upstream_still_dead);
    log_event(
        is_news ? log_level::warning : log_level::debug, event_type::upstream_dead, {{"peer", id.value()}});
    this->loads.suspend(id, now + this->death_suspension);
}

void upstream_health::take_pace(const upstream_id& id, double pace)
{
    this->loads.note_alive(id, this->loop.now());
    const engine_load& known = this->loads.of(id);
    const bool was_dead = known.has_failed(this->loop.now());
    const bool is_news = was_dead || std::abs(known.pace - pace) > pace_margin;
    log_event(is_news ? log_level::info : log_level::debug, event_type::upstream_alive,
        {{"peer", id.value()}, {"pace", std::to_string(pace)}});
    if (was_dead) {
        this->loads.resume(id);
        this->hooks.on_back(id);
    }
    this->loads.set_pace(id, pace);
}

} // namespace sailtiller
