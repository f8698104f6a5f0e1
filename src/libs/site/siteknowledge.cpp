// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <site/siteknowledge.h>
#include <store/historyoffset.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// The record under which operators keep the bundle.
constexpr std::string_view bundle_key = "config";
/// Names whose unusable values are remembered as logged; one that writes many is logged again.
constexpr std::size_t most_unusable_entries = 256;
/// In one report; some 4 kB. Whoever lacks more asks one host for it by itself.
constexpr std::size_t most_changes_told = 16;
/// In one report; 0.7 kB. More leave at once only as a hall is emptied, and each host hears of its own.
constexpr std::size_t most_leaving_told = 32;

std::optional<duration> age_of(const std::optional<time_point>& moment, time_point now)
{
    return moment ? std::optional(std::max(now - *moment, duration::zero())) : std::nullopt;
}

/// For the log. The age tells how long this host would have served by the bundle before.
std::string describe_arrival(const bundle_source& source, const std::optional<duration>& age)
{
    const std::string giver = source.peer ? "from " + source.peer->value() : "read from the store";
    if (!age) {
        return giver + ", no bundle was confirmed before";
    }
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(*age);
    return giver + ", known before as of " + std::to_string(whole.count()) + " ms ago";
}

std::string describe_offset(log_offset offset)
{
    return "era " + std::to_string(era_of(offset).value()) + " offset " + std::to_string(number_of(offset));
}

} // namespace

site_knowledge::site_knowledge(site_knowledge_settings settings, site_knowledge_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , directory(settings.lapse_grace, this->hooks.on_outlived)
    , own_disturbed(this->hooks.now())
    , started(this->hooks.now())
{
}

void site_knowledge::take_bundle_record(const keyed_record& record)
{
    if (record.key == bundle_key && record.value) {
        this->take_bundle_text(*record.value, {});
    }
}

std::uint64_t site_knowledge::own_version() const
{
    return this->current ? this->current->version.value() : 0;
}

void site_knowledge::take_bundle_text(const std::string& text, const bundle_source& source)
{
    if (text == this->bundle_text) {
        return;
    }
    try {
        auto next = std::make_shared<site_bundle>(this->hooks.decode_bundle(text));
        if (this->current && next->version <= this->current->version) {
            return;
        }
        this->current = next;
        this->bundle_text = text;
        this->hooks.on_event(event_type::bundle_in_force, std::to_string(next->version.value()),
            describe_arrival(source, this->bundle_age()));
        this->hooks.on_bundle(this->current);
    } catch (const error& malformed) {
        this->hooks.on_event(event_type::bundle_unusable, malformed.peer(), malformed.reason());
    }
}

void site_knowledge::confirm_bundle(time_point asked)
{
    this->renew_confirmation(asked, {});
}

void site_knowledge::renew_confirmation(time_point asked, const bundle_source& source)
{
    const bool is_newer = !this->bundle_confirmed || asked > *this->bundle_confirmed;
    if (!is_newer) {
        return;
    }
    const std::optional<duration> age = this->bundle_age();
    if (age && this->current) {
        this->hooks.on_confirmed(source, *age);
    }
    this->bundle_confirmed = asked;
}

std::optional<discovered_upstream> site_knowledge::read_upstream(const keyed_record& record)
{
    try {
        discovered_upstream upstream = this->hooks.decode_upstream(record.key, *record.value);
        upstream.is_leaving = upstream.is_leaving || this->past.has_said_leaving(upstream.id);
        return upstream;
    } catch (const error& malformed) {
        this->log_unusable(record, malformed.reason());
        return std::nullopt;
    }
}

void site_knowledge::log_unusable(const keyed_record& record, const std::string& reason)
{
    const std::size_t content = std::hash<std::string>{}(*record.value);
    const auto known = this->unusable_entries.find(record.key);
    if (known != this->unusable_entries.end() && known->second == content) {
        return;
    }
    if (known == this->unusable_entries.end() && this->unusable_entries.size() >= most_unusable_entries) {
        this->unusable_entries.clear();
    }
    this->unusable_entries[record.key] = content;
    this->hooks.on_event(event_type::upstream_entry_unusable, record.key, reason);
}

void site_knowledge::put_upstream(const keyed_record& record)
{
    if (!record.value) {
        this->remove_upstream(record.key);
        return;
    }
    const std::optional<discovered_upstream> upstream = this->read_upstream(record);
    if (!upstream) {
        this->drop_upstream(record.key);
        return;
    }
    this->past.note_written(upstream->id);
    this->put_read_upstream(record.key, *upstream);
}

void site_knowledge::put_read_upstream(const std::string& name, const discovered_upstream& upstream)
{
    const directory_entry* before = this->directory.find(upstream.id);
    const bool was_lapsed = before != nullptr && before->is_lapsed;
    const bool is_changed = this->directory.put(upstream, this->hooks.now());
    if (was_lapsed) {
        this->hooks.on_event(event_type::upstream_back, name, "its entry was written anew");
    }
    if (is_changed) {
        this->hooks.on_event(event_type::upstream_changed, name,
            upstream.address.value() + (upstream.is_leaving ? " leaving " : " ")
                + std::to_string(upstream.held.begin) + "-" + std::to_string(upstream.held.end));
    }
}

void site_knowledge::remove_upstream(const std::string& name)
{
    const auto remove = [this](const upstream_id& id) { this->directory.remove(id, this->hooks.now()); };
    this->take_out(name, "", remove);
}

void site_knowledge::drop_upstream(const std::string& name)
{
    const auto drop = [this](const upstream_id& id) { this->directory.drop(id, this->hooks.now()); };
    this->take_out(name, "its entry names none to use", drop);
}

void site_knowledge::take_out(
    const std::string& name, const std::string& reason, const std::function<void(const upstream_id&)>& take)
{
    const directory_entry* known = this->directory.find_by_name(name);
    if (known == nullptr) {
        return;
    }
    const upstream_id id = known->upstream.id; // a copy: the entry may end with it
    take(id);
    const bool is_kept = this->directory.find_by_name(name) != nullptr;
    if (!is_kept) {
        this->past.note_ended(id, this->hooks.now());
    }
    this->hooks.on_event(is_kept ? event_type::upstream_lapsed : event_type::upstream_gone, name,
        is_kept ? "kept for a while, as the store was away" : reason);
}

void site_knowledge::note_entries_answered()
{
    if (this->is_entries_read_failed) {
        this->is_entries_read_failed = false;
        this->own_disturbed = this->hooks.now();
    }
}

void site_knowledge::take_upstream_record(const keyed_record& record, log_offset offset)
{
    this->note_entries_answered();
    if (this->mirror.end() && offset < *this->mirror.end()) {
        return; // another host has told what came of it since
    }
    this->directory.set_store_disturbed(this->own_disturbed);
    this->put_upstream(record);
    this->mirror.note(record, offset);
    this->mirror.advance(log_offset(offset.value() + 1));
}

void site_knowledge::take_all_upstreams(const std::vector<keyed_record>& records, log_offset end)
{
    this->note_entries_answered();
    this->directory.set_store_disturbed(this->own_disturbed);
    this->take_list(records, end);
}

void site_knowledge::take_list(const std::vector<keyed_record>& records, log_offset end)
{
    if (this->mirror.end() && end < *this->mirror.end()) {
        return;
    }
    if (this->mirror.end() && era_of(end) > era_of(*this->mirror.end())) {
        this->begin_history(end);
    }
    this->mirror.replace(records, end);
    std::vector<discovered_upstream> upstreams;
    for (const keyed_record& record : records) {
        if (!record.value) {
            continue;
        }
        if (const std::optional<discovered_upstream> upstream = this->read_listed(record)) {
            upstreams.push_back(*upstream);
        }
    }
    if (this->directory.replace(upstreams, this->hooks.now())) {
        this->hooks.on_event(event_type::upstreams_listed, std::to_string(upstreams.size()), "");
    }
}

std::optional<discovered_upstream> site_knowledge::read_listed(const keyed_record& record)
{
    std::optional<discovered_upstream> upstream = this->read_upstream(record);
    if (!upstream) {
        this->drop_upstream(record.key);
        return std::nullopt;
    }
    if (this->past.has_ended(upstream->id)) {
        return std::nullopt;
    }
    upstream->is_leaving = upstream->is_leaving || this->past.was_leaving(upstream->id);
    return upstream;
}

void site_knowledge::begin_history(log_offset end)
{
    const time_point now = this->hooks.now();
    this->own_disturbed = now;
    this->has_store_failed = true;
    this->directory.set_store_disturbed(now);
    this->past.begin_history(now);
    for (const auto& [id, entry] : this->directory.entries()) {
        if (entry.upstream.is_leaving) {
            this->past.note_leaving(id);
        }
    }
    this->hooks.on_event(event_type::store_history_changed, "store",
        "from " + describe_offset(*this->mirror.end()) + " to " + describe_offset(end));
}

void site_knowledge::confirm_upstreams(time_point asked)
{
    this->note_entries_answered();
    this->renew_upstreams(asked);
}

void site_knowledge::renew_upstreams(time_point asked)
{
    this->upstreams_confirmed = std::max(asked, this->upstreams_confirmed.value_or(asked));
}

void site_knowledge::note_leaving(const upstream_id& id)
{
    this->take_leaving_word(id, "by its own answer");
}

void site_knowledge::take_leaving(const peer_report& report)
{
    for (const upstream_id& id : report.leaving_upstreams) {
        // Of one that is gone, hosts would remind each other for ever.
        if (this->directory.find(id) != nullptr) {
            this->take_leaving_word(id, "it told " + report.sender.id.value());
        }
    }
}

void site_knowledge::take_leaving_word(const upstream_id& id, const std::string& source)
{
    if (!this->past.note_said_leaving(id, this->hooks.now())) {
        return;
    }
    if (this->directory.set_leaving(id)) {
        this->hooks.on_event(event_type::upstream_leaving, id.value(), source);
    }
}

void site_knowledge::note_ended(const upstream_id& id)
{
    this->directory.mark_superseded(id, this->hooks.now());
}

bool site_knowledge::are_entries_old() const
{
    const std::optional<duration> age = this->upstreams_age();
    return age && *age > this->settings.entries_limit;
}

void site_knowledge::note_held(const upstream_id& id, const layer_span& held, time_point told)
{
    const directory_entry* entry = this->directory.find(id);
    if (entry == nullptr || !this->are_entries_old()) {
        return;
    }
    const auto known = this->told_holdings.find(id);
    const bool is_newer = known == this->told_holdings.end() || told > known->second.told;
    if (!is_newer) {
        return;
    }
    if (entry->upstream.held == held) {
        if (known != this->told_holdings.end()) {
            known->second.told = told;
        }
        return;
    }
    discovered_upstream upstream = entry->upstream;
    upstream.held = held;
    this->directory.put(upstream, this->hooks.now());
    this->told_holdings[id] = {held, told};
    this->hooks.on_event(event_type::upstream_changed, id.value(),
        upstream.address.value() + " by its own report " + std::to_string(held.begin) + "-"
            + std::to_string(held.end));
}

void site_knowledge::note_store_failed(store_topic topic)
{
    this->own_disturbed = this->hooks.now();
    this->has_store_failed = true;
    this->is_entries_read_failed = this->is_entries_read_failed || topic == store_topic::upstreams;
}

void site_knowledge::end_told_holdings()
{
    const time_point now = this->hooks.now();
    for (const auto& [id, holding] : this->told_holdings) {
        this->departed_entries[upstream_name(id)] = now;
    }
    if (this->are_entries_old()) {
        return;
    }
    this->told_holdings.clear();
    const auto is_over = [this, now](
                             const auto& item) { return now - item.second >= this->settings.lapse_grace; };
    for (const auto& item : this->departed_entries) {
        const std::optional<std::string> value = this->mirror.find(item.first);
        if (!is_over(item) || !value) {
            continue;
        }
        if (const auto upstream = this->read_listed({item.first, value})) {
            this->put_read_upstream(item.first, *upstream);
        }
    }
    std::erase_if(this->departed_entries, is_over);
}

void site_knowledge::tidy()
{
    this->past.forget_old(
        [this](const upstream_id& id) { return this->directory.find(id) != nullptr; }, this->hooks.now());
    this->end_told_holdings();
    for (const upstream_id& id : this->directory.drop_lapsed(this->hooks.now())) {
        this->hooks.on_event(event_type::upstream_gone, upstream_name(id),
            "its entry has not come back since the store was away");
    }
}

void site_knowledge::fill_report(peer_report& report, const peer_report* asker) const
{
    const time_point now = this->hooks.now();
    report.bundle_version = this->own_version();
    report.bundle_age = age_of(this->bundle_confirmed, now);
    report.entries_age = age_of(this->upstreams_confirmed, now);
    if (this->mirror.end()) {
        report.entries_offset = this->mirror.end()->value();
    }
    if (this->can_tell_disturbance()) {
        report.store_disturbed_age = age_of(this->directory.store_disturbed_at(), now);
    }
    for (const auto& [id, holding] : this->told_holdings) {
        report.holdings.push_back({id, holding.held.begin, holding.held.end, now - holding.told});
    }
    report.leaving_upstreams = this->past.list_said_leaving(most_leaving_told);
    if (asker == nullptr) {
        return;
    }
    this->fill_changes(report, *asker);
}

void site_knowledge::fill_changes(peer_report& report, const peer_report& asker) const
{
    const std::optional<std::uint64_t>& offset = asker.entries_offset;
    if (!report.entries_offset || offset.value_or(0) >= *report.entries_offset) {
        return;
    }
    const std::optional<log_offset> known = offset ? std::optional(log_offset(*offset)) : std::nullopt;
    const std::size_t most = asker.wants_changes ? most_changes_told : 0;
    if (this->mirror.lacks_everything(known) || this->mirror.has_more_changes(*known, most)) {
        report.withheld_offset = report.entries_offset;
        report.entries_offset.reset();
        return;
    }
    for (keyed_record& record : this->mirror.since(known).records) {
        report.changes.push_back({std::move(record.key), std::move(record.value)});
    }
}

void site_knowledge::take_answer(const peer_report& answer, time_point asked)
{
    if (answer.bundle_age && answer.bundle_version == this->own_version()) {
        this->renew_confirmation(asked - *answer.bundle_age, {answer.sender.id});
    }
    this->take_entries(answer, asked);
    for (const reported_layers& holding : answer.holdings) {
        this->note_held(holding.id, {holding.begin, holding.end}, asked - holding.age);
    }
}

void site_knowledge::take_entries(const peer_report& answer, time_point asked)
{
    const std::uint64_t own_end = this->mirror.end() ? this->mirror.end()->value() : 0;
    if (!answer.entries_offset || *answer.entries_offset < own_end) {
        return;
    }
    // Whether a missing entry can be believed depends on how the store was to the host that read it.
    if (answer.store_disturbed_age) {
        this->directory.set_store_disturbed(asked - *answer.store_disturbed_age);
    } else if (*answer.entries_offset > own_end) {
        const time_point now = this->hooks.now();
        this->directory.set_store_disturbed(this->is_entries_read_failed ? now : this->own_disturbed);
    }
    std::vector<keyed_record> records;
    for (const entry_change& change : answer.changes) {
        records.push_back({change.key, change.value});
    }
    const log_offset end(*answer.entries_offset);
    if (answer.are_entries_whole) {
        this->take_list(records, end);
    } else {
        this->take_changes(records, end);
    }
    if (answer.entries_age) {
        this->renew_upstreams(asked - *answer.entries_age);
    }
}

bool site_knowledge::can_tell_disturbance() const
{
    return this->has_store_failed || this->hooks.now() - this->started >= this->settings.lapse_grace;
}

void site_knowledge::take_changes(const std::vector<keyed_record>& records, log_offset end)
{
    // The changes lie somewhere before the end.
    const log_offset last(end.value() == 0 ? 0 : end.value() - 1);
    for (const keyed_record& record : records) {
        this->put_upstream(record);
        this->mirror.note(record, last);
    }
    this->mirror.advance(end);
}

bool site_knowledge::is_bundle_fresh() const
{
    const std::optional<duration> age = this->bundle_age();
    return this->current && age && *age < this->settings.revoke_limit - this->settings.freshness_margin;
}

std::optional<duration> site_knowledge::bundle_age() const
{
    return age_of(this->bundle_confirmed, this->hooks.now());
}

std::optional<duration> site_knowledge::upstreams_age() const
{
    return age_of(this->upstreams_confirmed, this->hooks.now());
}

} // namespace sailtiller
