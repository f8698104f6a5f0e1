// SPDX-License-Identifier: Apache-2.0
#include <base/latest.h>
#include <fleet/crashsuspects.h>

#include <algorithm>
#include <tuple>

namespace sailtiller {

namespace {

/// Events of one kind of suspect.
struct suspicion_events
{
    event_type suspected;
    event_type cleared;
};

suspicion_events events_of(suspect_kind kind)
{
    if (kind == suspect_kind::prompt_part) {
        return {event_type::prompt_part_suspected, event_type::prompt_part_cleared};
    }
    return {event_type::request_suspected, event_type::request_cleared};
}

} // namespace

bool crash_suspects::is_in_regular_use(const entry& item) const
{
    // A request passes once, and not again before the next burst.
    if (item.kind != suspect_kind::prompt_part || !item.last_pass || item.crashes.empty()) {
        return false;
    }
    const auto first = std::min_element(item.crashes.begin(), item.crashes.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return first->second - *item.last_pass <= this->settings.regular_use_time;
}

std::size_t crash_suspects::count_crashes(const entry& item) const
{
    if (!this->is_in_regular_use(item)) {
        return item.crashes.size();
    }
    std::vector<time_point> times;
    for (const auto& [upstream, at] : item.crashes) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::size_t bursts = 0;
    time_point burst_end{};
    for (const time_point at : times) {
        if (bursts == 0 || at > burst_end) {
            ++bursts;
            burst_end = at + this->settings.burst_time;
        }
    }
    return bursts;
}

bool crash_suspects::is_suspect(const entry& item) const
{
    return item.trials > 0 || this->count_crashes(item) >= crashes_until_suspect;
}

std::size_t crash_suspects::suspect_count(suspect_kind kind) const
{
    return static_cast<std::size_t>(
        std::count_if(this->records.begin(), this->records.end(), [kind](const auto& item) {
            return item.first.kind == kind && item.second.suspect_since.has_value();
        }));
}

std::vector<suspect_state> crash_suspects::list_suspects(time_point now) const
{
    std::vector<suspect_state> list;
    for (const auto& [suspect, item] : this->records) {
        if (item.suspect_since) {
            list.push_back({suspect, item.crashes.size(), item.trials, now - *item.suspect_since});
        }
    }
    return list;
}

duration crash_suspects::retention_of(const entry& item) const
{
    const bool was_suspect = item.suspect_since || item.clearances > 0;
    return was_suspect ? this->settings.suspect_retention : this->settings.memory;
}

duration crash_suspects::pause_after(unsigned trials) const
{
    return trials <= 1 ? this->settings.second_trial_pause : this->settings.third_trial_pause;
}

std::tuple<bool, bool, time_point> crash_suspects::rank(const entry& item) const
{
    return {item.suspect_since.has_value(), item.crashes.size() > 1, item.renewed};
}

crash_suspects::entry& crash_suspects::find_or_add(const suspect_id& suspect, time_point now)
{
    const auto found = this->records.find(suspect);
    if (found != this->records.end()) {
        return found->second;
    }
    this->evict_lowest();
    entry& item = this->records[suspect];
    item.kind = suspect.kind;
    item.renewed = now;
    item.last_pass = this->passes.last_pass(suspect);
    return item;
}

void crash_suspects::evict_lowest()
{
    if (this->records.size() < this->settings.most_records) {
        return;
    }
    this->records.erase(std::min_element(
        this->records.begin(), this->records.end(), [this](const auto& left, const auto& right) {
            return this->rank(left.second) < this->rank(right.second);
        }));
}

bool crash_suspects::add_crash(entry& item, const upstream_id& upstream, time_point at, time_point now)
{
    const bool is_before_pass = item.last_pass && at < *item.last_pass;
    if (is_before_pass || item.crashes.count(upstream) != 0
        || item.crashes.size() >= this->settings.max_crashes) {
        return false;
    }
    // Another crash of the same burst would only take the place of a later one.
    const bool is_in_burst = this->is_in_regular_use(item)
        && std::any_of(item.crashes.begin(), item.crashes.end(), [this, at](const auto& crash) {
               return std::chrono::abs(at - crash.second) <= this->settings.burst_time;
           });
    if (is_in_burst) {
        return false;
    }
    item.crashes.emplace(upstream, at);
    item.renewed = now;
    return true;
}

void crash_suspects::apply_pass(entry& item, time_point at, time_point now) const
{
    if (item.last_pass && at <= *item.last_pass) {
        return;
    }
    const bool was_suspect = this->is_suspect(item);
    item.last_pass = at;
    if (std::erase_if(item.crashes, [at](const auto& crash) { return crash.second <= at; }) > 0) {
        item.renewed = now;
    }
    if (item.last_trial <= at) {
        item.trials = 0;
    }
    if (was_suspect && !this->is_suspect(item)) {
        ++item.clearances;
        item.renewed = now;
    }
}

bool crash_suspects::add_trials(entry& item, unsigned trials, time_point now)
{
    if (trials <= item.trials) {
        return false;
    }
    item.trials = trials;
    item.last_trial = now;
    item.renewed = now;
    return true;
}

void crash_suspects::apply_clearances(entry& item, unsigned clearances, time_point now)
{
    if (clearances <= item.clearances) {
        return;
    }
    item.clearances = clearances;
    item.crashes.clear();
    item.trials = 0;
    item.renewed = now;
}

bool crash_suspects::update_suspicion(const suspect_id& suspect, entry& item, time_point now) const
{
    const bool is_now_suspect = this->is_suspect(item);
    if (is_now_suspect == item.suspect_since.has_value()) {
        return false;
    }
    item.suspect_since = is_now_suspect ? std::optional(now) : std::nullopt;
    item.renewed = now;
    const suspicion_events events = events_of(suspect.kind);
    if (this->on_news) {
        this->on_news(is_now_suspect ? events.suspected : events.cleared, suspect);
    }
    return true;
}

void crash_suspects::report_urgently() const
{
    if (this->on_urgent) {
        this->on_urgent();
    }
}

void crash_suspects::note_crash(const suspect_list& causes, const upstream_id& upstream, time_point now)
{
    bool is_urgent = false;
    for (const suspect_id& cause : causes) {
        entry& item = this->find_or_add(cause, now);
        if (!this->add_crash(item, upstream, now, now)) {
            continue;
        }
        this->update_suspicion(cause, item, now);
        const bool may_be_fatal_part = cause.kind == suspect_kind::prompt_part && !item.last_pass;
        is_urgent = is_urgent || may_be_fatal_part || item.crashes.size() > 1;
    }
    if (is_urgent) {
        this->report_urgently();
    }
}

void crash_suspects::note_passed(const suspect_list& causes, time_point now)
{
    bool is_any_cleared = false;
    for (const suspect_id& cause : causes) {
        if (cause.kind == suspect_kind::prompt_part) {
            this->passes.note(cause, now);
        }
        const auto found = this->records.find(cause);
        if (found == this->records.end()) {
            continue;
        }
        apply_pass(found->second, now, now);
        is_any_cleared = this->update_suspicion(cause, found->second, now) || is_any_cleared;
    }
    if (is_any_cleared) {
        this->report_urgently();
    }
}

void crash_suspects::note_trials(const suspect_id& suspect, const trial_record& record, time_point now)
{
    entry& item = this->find_or_add(suspect, now);
    const trial_record before{item.trials, item.clearances};
    apply_clearances(item, record.clearances, now);
    if (record.clearances == item.clearances) {
        add_trials(item, record.trials, now);
    }
    this->update_suspicion(suspect, item, now);
    if (before.trials != item.trials || before.clearances != item.clearances) {
        this->report_urgently();
    }
}

void crash_suspects::note_granted_trial(const suspect_id& suspect, const trial_record& record, time_point now)
{
    this->note_trials(suspect, record, now);
    this->find_or_add(suspect, now).trial_end = now + this->settings.trial_time;
}

bool crash_suspects::has_passed_lately(const suspect_id& part, time_point now) const
{
    std::optional<time_point> last = this->passes.last_pass(part);
    const auto found = this->records.find(part);
    if (found != this->records.end()) {
        last = std::max(last, found->second.last_pass);
    }
    return last && now - *last <= this->settings.regular_use_time;
}

time_point crash_suspects::next_trial_due(const entry& item) const
{
    return item.last_trial + this->pause_after(item.trials);
}

send_assessment crash_suspects::assess_one(const entry& item, time_point now) const
{
    if (item.trials == 0) {
        return {send_decision::trial, {}, {}};
    }
    const duration until_trial_end = item.trial_end - now;
    if (until_trial_end > duration::zero()) {
        return {send_decision::later, until_trial_end, {}};
    }
    if (item.trials >= max_trials) {
        return {send_decision::never, this->settings.suspect_retention, {}};
    }
    const duration left = this->next_trial_due(item) - now;
    if (left > duration::zero()) {
        return {send_decision::later, left, {}};
    }
    return {send_decision::trial, {}, {}};
}

send_assessment crash_suspects::assess(const suspect_list& causes, time_point now)
{
    send_assessment result;
    std::size_t unproven_parts = 0;
    time_point part_trial_due{};
    for (const suspect_id& cause : causes) {
        const bool is_part = cause.kind == suspect_kind::prompt_part;
        const auto found = this->records.find(cause);
        const bool is_suspect = found != this->records.end() && found->second.suspect_since;
        unproven_parts += is_part && (is_suspect || !this->has_passed_lately(cause, now)) ? 1 : 0;
        if (!is_suspect) {
            continue;
        }
        entry& item = found->second;
        item.renewed = now;
        const send_assessment own = this->assess_one(item, now);
        result.decision = std::max(result.decision, own.decision);
        result.wait = std::max(result.wait, own.wait);
        result.suspects.push_back(cause);
        if (is_part) {
            const time_point due = item.trials > 0 ? this->next_trial_due(item) : *item.suspect_since;
            part_trial_due = std::max(part_trial_due, due);
        }
    }
    const duration until_separated = part_trial_due + this->settings.separation_time - now;
    if (result.decision == send_decision::trial && unproven_parts > 1 && until_separated > duration::zero()) {
        result.decision = send_decision::later;
        result.wait = until_separated;
    }
    return result;
}

trial_record crash_suspects::trials_of(const suspect_id& suspect) const
{
    const auto found = this->records.find(suspect);
    return found == this->records.end() ? trial_record()
                                        : trial_record{found->second.trials, found->second.clearances};
}

std::vector<crash_record> crash_suspects::list_updates(time_point now, std::size_t most) const
{
    // Selects before copying: with 512 records, a report of 32 takes 24 us.
    std::vector<const std::pair<const suspect_id, entry>*> told;
    for (const auto& record : this->records) {
        const entry& item = record.second;
        // A host that has just started or was cut off must receive every suspect, however old.
        if (item.suspect_since || now - item.renewed <= this->settings.report_window) {
            told.push_back(&record);
        }
    }
    keep_latest(told, most, [this](const auto& record) { return this->rank(record.second); });
    std::vector<crash_record> news;
    news.reserve(told.size());
    for (const auto* record : told) {
        const entry& item = record->second;
        crash_record& report = news.emplace_back();
        report.suspect = record->first;
        for (const auto& [upstream, at] : item.crashes) {
            report.crashes.push_back({upstream, now - at});
        }
        report.trials = item.trials;
        report.clearances = item.clearances;
        report.age = now - item.renewed;
        if (item.last_pass) {
            report.pass_age = now - *item.last_pass;
        }
    }
    return news;
}

bool crash_suspects::merge(const crash_record& record, time_point now)
{
    entry& item = this->find_or_add(record.suspect, now - record.age);
    if (record.clearances < item.clearances) {
        item.renewed = now; // the sender missed the clearance and receives it now
        return false;
    }
    item.renewed = std::max(item.renewed, now - record.age);
    bool has_new_trial = false;
    apply_clearances(item, record.clearances, now);
    if (record.pass_age) {
        apply_pass(item, now - *record.pass_age, now);
    }
    bool is_new_crash = false;
    for (const reported_crash& crash : record.crashes) {
        is_new_crash = this->add_crash(item, crash.upstream, now - crash.age, now) || is_new_crash;
    }
    if (record.clearances == item.clearances && add_trials(item, record.trials, now)) {
        has_new_trial = true;
        item.trial_end = now + this->settings.trial_time;
    }
    const bool is_changed = this->update_suspicion(record.suspect, item, now);
    return is_changed || has_new_trial || (is_new_crash && item.crashes.size() > 1);
}

void crash_suspects::handle_updates(const std::vector<crash_record>& news, time_point now)
{
    bool is_urgent = false;
    for (const crash_record& record : news) {
        is_urgent = this->merge(record, now) || is_urgent;
    }
    if (is_urgent) {
        this->report_urgently();
    }
}

suspect_list crash_suspects::forget_old(time_point now)
{
    suspect_list tried;
    std::erase_if(this->records, [&](const auto& item) {
        const bool is_old = now - item.second.renewed > this->retention_of(item.second);
        if (is_old && item.second.trials > 0) {
            tried.push_back(item.first);
        }
        return is_old;
    });
    return tried;
}

} // namespace sailtiller
