// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <site/sitestate.h>
#include <store/historyoffset.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Key of the record that holds the bundle.
constexpr std::string_view bundle_key = "config";
/// Maximum number of names with a logged unusable value; above it, values are logged again.
constexpr std::size_t max_logged_unusable_entries = 256;
/// Maximum number of changes in one report, about 4 kB. Hosts that lack more request them from one host.
constexpr std::size_t max_changes_per_report = 16;
/// Maximum number of leaving notices in one report, 0.7 kB. More upstreams leave at once only when a data
/// hall is emptied, and then each host gets the notices of its own upstreams.
constexpr std::size_t max_leaving_per_report = 32;

std::optional<duration> age_of(const std::optional<time_point>& moment, time_point now)
{
    return moment ? std::optional(std::max(now - *moment, duration::zero())) : std::nullopt;
}

/// Describes the source of a bundle for the log. `age` is the age of the previous confirmation.
std::string describe_bundle_source(const bundle_source& source, const std::optional<duration>& age)
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

site_state::site_state(site_state_settings settings, site_state_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , directory(settings.lapse_grace, this->hooks.on_outlived)
    , own_store_disturbance(this->hooks.now())
    , started(this->hooks.now())
{
}

void site_state::apply_bundle_record(const keyed_record& record)
{
    if (record.key == bundle_key && record.value) {
        this->apply_bundle_text(*record.value, {});
    }
}

std::uint64_t site_state::own_version() const
{
    return this->current ? this->current->version.value() : 0;
}

void site_state::apply_bundle_text(const std::string& text, const bundle_source& source)
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
            describe_bundle_source(source, this->bundle_age()));
        for (const std::string& fault : next->account_faults) {
            this->hooks.on_event(
                event_type::bundle_accounts_unusable, std::to_string(next->version.value()), fault);
        }
        this->hooks.on_bundle(this->current);
    } catch (const error& malformed) {
        this->hooks.on_event(event_type::bundle_unusable, malformed.peer(), malformed.reason());
    }
}

void site_state::confirm_bundle(time_point asked)
{
    this->confirm_bundle_as_of(asked, {});
}

void site_state::confirm_bundle_as_of(time_point asked, const bundle_source& source)
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

std::optional<discovered_upstream> site_state::read_upstream(const keyed_record& record)
{
    try {
        discovered_upstream upstream = this->hooks.decode_upstream(record.key, *record.value);
        upstream.is_leaving = upstream.is_leaving || this->past.has_leaving_notice(upstream.id);
        return upstream;
    } catch (const error& malformed) {
        this->log_unusable(record, malformed.reason());
        return std::nullopt;
    }
}

void site_state::log_unusable(const keyed_record& record, const std::string& reason)
{
    const std::size_t content = std::hash<std::string>{}(*record.value);
    const auto known = this->unusable_entries.find(record.key);
    if (known != this->unusable_entries.end() && known->second == content) {
        return;
    }
    if (known == this->unusable_entries.end()
        && this->unusable_entries.size() >= max_logged_unusable_entries) {
        this->unusable_entries.clear();
    }
    this->unusable_entries[record.key] = content;
    this->hooks.on_event(event_type::upstream_entry_unusable, record.key, reason);
}

void site_state::put_upstream(const keyed_record& record)
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
    this->past.record_entry_written(upstream->id);
    this->put_read_upstream(record.key, *upstream);
}

void site_state::put_read_upstream(const std::string& name, const discovered_upstream& upstream)
{
    const directory_entry* before = this->directory.find(upstream.id);
    const bool was_lapsed = before != nullptr && before->is_lapsed;
    const bool is_changed = this->directory.put(upstream, this->hooks.now());
    if (was_lapsed) {
        this->hooks.on_event(event_type::upstream_back, name, "its entry was rewritten");
    }
    if (is_changed) {
        this->hooks.on_event(event_type::upstream_changed, name,
            upstream.address.value() + (upstream.is_leaving ? " leaving " : " ")
                + std::to_string(upstream.held.begin) + "-" + std::to_string(upstream.held.end));
    }
}

void site_state::remove_upstream(const std::string& name)
{
    const auto remove = [this](const upstream_id& id) { this->directory.remove(id, this->hooks.now()); };
    this->retire_upstream(name, "", remove);
}

void site_state::drop_upstream(const std::string& name)
{
    const auto drop = [this](const upstream_id& id) { this->directory.drop(id, this->hooks.now()); };
    this->retire_upstream(name, "its entry is unusable", drop);
}

void site_state::retire_upstream(
    const std::string& name, const std::string& reason, const std::function<void(const upstream_id&)>& take)
{
    const directory_entry* known = this->directory.find_by_name(name);
    if (known == nullptr) {
        return;
    }
    const upstream_id id = known->upstream.id; // a copy: the call may remove the entry
    take(id);
    const bool is_kept = this->directory.find_by_name(name) != nullptr;
    if (!is_kept) {
        this->past.note_ended(id, this->hooks.now());
    }
    this->hooks.on_event(is_kept ? event_type::upstream_lapsed : event_type::upstream_gone, name,
        is_kept ? "kept for the grace period, as the store was unavailable" : reason);
}

void site_state::record_entries_read()
{
    if (this->has_last_entries_read_failed) {
        this->has_last_entries_read_failed = false;
        this->own_store_disturbance = this->hooks.now();
    }
}

void site_state::apply_upstream_record(const keyed_record& record, log_offset offset)
{
    this->record_entries_read();
    if (this->mirror.end() && offset < *this->mirror.end()) {
        return; // newer entries have arrived from another host
    }
    this->directory.set_store_disturbed(this->own_store_disturbance);
    this->put_upstream(record);
    this->mirror.note(record, offset);
    this->mirror.advance(log_offset(offset.value() + 1));
}

void site_state::apply_upstream_list(const std::vector<keyed_record>& records, log_offset end)
{
    this->record_entries_read();
    this->directory.set_store_disturbed(this->own_store_disturbance);
    this->apply_list(records, end);
}

void site_state::apply_list(const std::vector<keyed_record>& records, log_offset end)
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

std::optional<discovered_upstream> site_state::read_listed(const keyed_record& record)
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

void site_state::begin_history(log_offset end)
{
    const time_point now = this->hooks.now();
    this->own_store_disturbance = now;
    this->has_store_read_failed = true;
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

void site_state::confirm_upstreams(time_point asked)
{
    this->record_entries_read();
    this->confirm_upstreams_as_of(asked);
}

void site_state::confirm_upstreams_as_of(time_point asked)
{
    this->upstreams_confirmed = std::max(asked, this->upstreams_confirmed.value_or(asked));
}

void site_state::note_leaving(const upstream_id& id)
{
    this->apply_leaving_notice(id, "by its own answer");
}

void site_state::apply_leaving_notices(const peer_report& report)
{
    for (const upstream_id& id : report.leaving_upstreams) {
        // Notices of removed upstreams would circulate between hosts forever.
        if (this->directory.find(id) != nullptr) {
            this->apply_leaving_notice(id, "reported by " + report.sender.id.value());
        }
    }
}

void site_state::apply_leaving_notice(const upstream_id& id, const std::string& source)
{
    if (!this->past.record_leaving_notice(id, this->hooks.now())) {
        return;
    }
    if (this->directory.set_leaving(id)) {
        this->hooks.on_event(event_type::upstream_leaving, id.value(), source);
    }
}

void site_state::note_ended(const upstream_id& id)
{
    this->directory.mark_superseded(id, this->hooks.now());
}

bool site_state::are_entries_stale() const
{
    const std::optional<duration> age = this->upstreams_age();
    return age && *age > this->settings.max_entries_age;
}

void site_state::record_reported_layers(const upstream_id& id, const layer_span& held, time_point told)
{
    const directory_entry* entry = this->directory.find(id);
    if (entry == nullptr || !this->are_entries_stale()) {
        return;
    }
    const auto known = this->reported_holdings.find(id);
    const bool is_newer = known == this->reported_holdings.end() || told > known->second.told;
    if (!is_newer) {
        return;
    }
    if (entry->upstream.held == held) {
        if (known != this->reported_holdings.end()) {
            known->second.told = told;
        }
        return;
    }
    discovered_upstream upstream = entry->upstream;
    upstream.held = held;
    this->directory.put(upstream, this->hooks.now());
    this->reported_holdings[id] = {held, told};
    this->hooks.on_event(event_type::upstream_changed, id.value(),
        upstream.address.value() + " by its own report " + std::to_string(held.begin) + "-"
            + std::to_string(held.end));
}

void site_state::note_store_failed(store_topic topic)
{
    this->own_store_disturbance = this->hooks.now();
    this->has_store_read_failed = true;
    this->has_last_entries_read_failed =
        this->has_last_entries_read_failed || topic == store_topic::upstreams;
}

void site_state::expire_reported_holdings()
{
    const time_point now = this->hooks.now();
    for (const auto& [id, holding] : this->reported_holdings) {
        this->overridden_entries[upstream_name(id)] = now;
    }
    if (this->are_entries_stale()) {
        return;
    }
    this->reported_holdings.clear();
    const auto is_over = [this, now](
                             const auto& item) { return now - item.second >= this->settings.lapse_grace; };
    for (const auto& item : this->overridden_entries) {
        const std::optional<std::string> value = this->mirror.find(item.first);
        if (!is_over(item) || !value) {
            continue;
        }
        if (const auto upstream = this->read_listed({item.first, value})) {
            this->put_read_upstream(item.first, *upstream);
        }
    }
    std::erase_if(this->overridden_entries, is_over);
}

void site_state::tidy()
{
    this->past.forget_old(
        [this](const upstream_id& id) { return this->directory.find(id) != nullptr; }, this->hooks.now());
    this->expire_reported_holdings();
    for (const upstream_id& id : this->directory.drop_lapsed(this->hooks.now())) {
        this->hooks.on_event(event_type::upstream_gone, upstream_name(id),
            "its entry was not rewritten after the store was unavailable");
    }
}

void site_state::fill_report(peer_report& report, const peer_report* asker) const
{
    const time_point now = this->hooks.now();
    report.bundle_version = this->own_version();
    report.bundle_age = age_of(this->bundle_confirmed, now);
    report.entries_age = age_of(this->upstreams_confirmed, now);
    if (this->mirror.end()) {
        report.entries_offset = this->mirror.end()->value();
    }
    if (this->knows_store_disturbance()) {
        report.store_disturbed_age = age_of(this->directory.store_disturbed_at(), now);
    }
    for (const auto& [id, holding] : this->reported_holdings) {
        report.holdings.push_back({id, holding.held.begin, holding.held.end, now - holding.told});
    }
    report.leaving_upstreams = this->past.latest_leaving_notices(max_leaving_per_report);
    if (asker == nullptr) {
        return;
    }
    this->fill_changes(report, *asker);
}

void site_state::fill_changes(peer_report& report, const peer_report& asker) const
{
    const std::optional<std::uint64_t>& offset = asker.entries_offset;
    if (!report.entries_offset || offset.value_or(0) >= *report.entries_offset) {
        return;
    }
    const std::optional<log_offset> known = offset ? std::optional(log_offset(*offset)) : std::nullopt;
    const std::size_t most = asker.wants_changes ? max_changes_per_report : 0;
    if (this->mirror.lacks_everything(known) || this->mirror.has_more_changes(*known, most)) {
        report.withheld_offset = report.entries_offset;
        report.entries_offset.reset();
        return;
    }
    for (keyed_record& record : this->mirror.since(known).records) {
        report.changes.push_back({std::move(record.key), std::move(record.value)});
    }
}

void site_state::take_answer(const peer_report& answer, time_point asked)
{
    if (answer.bundle_age && answer.bundle_version == this->own_version()) {
        this->confirm_bundle_as_of(asked - *answer.bundle_age, {answer.sender.id});
    }
    this->apply_entries(answer, asked);
    for (const reported_layers& holding : answer.holdings) {
        this->record_reported_layers(holding.id, {holding.begin, holding.end}, asked - holding.age);
    }
}

void site_state::apply_entries(const peer_report& answer, time_point asked)
{
    const std::uint64_t own_end = this->mirror.end() ? this->mirror.end()->value() : 0;
    if (!answer.entries_offset || *answer.entries_offset < own_end) {
        return;
    }
    // Whether a missing entry counts as removed depends on the state of the store for the host that read it.
    if (answer.store_disturbed_age) {
        this->directory.set_store_disturbed(asked - *answer.store_disturbed_age);
    } else if (*answer.entries_offset > own_end) {
        const time_point now = this->hooks.now();
        this->directory.set_store_disturbed(
            this->has_last_entries_read_failed ? now : this->own_store_disturbance);
    }
    std::vector<keyed_record> records;
    for (const entry_change& change : answer.changes) {
        records.push_back({change.key, change.value});
    }
    const log_offset end(*answer.entries_offset);
    if (answer.are_entries_whole) {
        this->apply_list(records, end);
    } else {
        this->apply_changes(records, end);
    }
    if (answer.entries_age) {
        this->confirm_upstreams_as_of(asked - *answer.entries_age);
    }
}

bool site_state::knows_store_disturbance() const
{
    return this->has_store_read_failed || this->hooks.now() - this->started >= this->settings.lapse_grace;
}

void site_state::apply_changes(const std::vector<keyed_record>& records, log_offset end)
{
    // The exact offsets of the changes before the end are not known.
    const log_offset last(end.value() == 0 ? 0 : end.value() - 1);
    for (const keyed_record& record : records) {
        this->put_upstream(record);
        this->mirror.note(record, last);
    }
    this->mirror.advance(end);
}

bool site_state::is_bundle_fresh() const
{
    const std::optional<duration> age = this->bundle_age();
    return this->current && age && *age < this->settings.revoke_limit - this->settings.freshness_margin;
}

std::optional<duration> site_state::bundle_age() const
{
    return age_of(this->bundle_confirmed, this->hooks.now());
}

std::optional<duration> site_state::upstreams_age() const
{
    return age_of(this->upstreams_confirmed, this->hooks.now());
}

} // namespace sailtiller
