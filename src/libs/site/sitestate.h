// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/eventtype.h>
#include <bundle/sitebundle.h>
#include <directory/upstreamdirectory.h>
#include <fleet/hosttable.h>
#include <routing/engineloads.h>
#include <site/retiredupstreams.h>
#include <store/recordmirror.h>

#include <memory>

namespace sailtiller {

/// Limits for the age of this host's state.
struct site_state_settings
{
    /// Longest time for which a withdrawn key may be used.
    duration revoke_limit = std::chrono::seconds(5);
    /// Subtracted from the limit for the time from the check to the upstream.
    duration freshness_margin = std::chrono::milliseconds(300);
    /// Entries that lapsed during a store outage are rewritten within about two seconds of its end.
    duration lapse_grace = std::chrono::milliseconds(2200);
    /// Age of the entries above which engines' own reports replace the layers in their entries. Readers read
    /// every 0.4 s and report to the other hosts within half a second.
    duration max_entries_age = std::chrono::milliseconds(1500);
};

/// Source of a bundle or of a confirmation that it is the newest.
struct bundle_source
{
    std::optional<host_id> peer; ///< not set for the store itself
};

/// Callbacks of the site state.
struct site_state_hooks
{
    clock_function now;
    /// Throws `error` if the text is not a valid bundle.
    std::function<site_bundle(const std::string&)> decode_bundle;
    /// Throws `error` if the text is not a valid upstream entry.
    std::function<discovered_upstream(const std::string& name, const std::string& text)> decode_upstream;
    /// Called when a newer bundle takes force.
    std::function<void(const std::shared_ptr<const site_bundle>&)> on_bundle;
    /// Called when the bundle is confirmed again; the duration is the age of the previous confirmation.
    std::function<void(const bundle_source&, duration)> on_confirmed;
    /// Logs a change of the state: event, subject, detail.
    std::function<void(event_type, const std::string&, const std::string&)> on_event;
    /// Called when a newer start of the same machine has superseded this one; optional.
    std::function<void(const upstream_id&)> on_outlived = nullptr;
};

/// State of the site on one host: the bundle with the time as of which it is confirmed as the newest, and the
/// upstreams. Both come from the store, directly or through another host; ages count from the query to the
/// store. The version of the bundle never decreases.
class site_state
{
public:
    site_state(site_state_settings settings, site_state_hooks hooks);

    void set_revoke_limit(duration limit) { this->settings.revoke_limit = limit; }
    /// Applies the bundle of a store record if it is newer.
    void apply_bundle_record(const keyed_record& record);
    /// Applies the bundle if it is newer.
    void apply_bundle_text(const std::string& text, const bundle_source& source);
    /// Records that the store had no newer bundle at `asked`.
    void confirm_bundle(time_point asked);
    /// Applies one change of the upstream entries, which is at `offset` of the store topic.
    void apply_upstream_record(const keyed_record& record, log_offset offset);
    /// Replaces all upstream entries, valid up to `end`; upstreams without an entry are removed.
    void apply_upstream_list(const std::vector<keyed_record>& records, log_offset end);
    /// Records that everything the store had of the upstreams at `asked`, the time of the query, has been
    /// applied.
    void confirm_upstreams(time_point asked);
    /// Applies the layers that an engine reported at `told`. They are used while the entries are stale,
    /// unless a newer report is known.
    void record_reported_layers(const upstream_id& id, const layer_span& held, time_point told);
    /// Applies a leaving notice from an answer of the upstream to this host. It holds until the upstream is
    /// removed, whatever its entry says.
    void note_leaving(const upstream_id& id);
    /// Records that another upstream answered in place of this start.
    void note_ended(const upstream_id& id);
    /// True if the entries are too old to show changes of the upstreams.
    [[nodiscard]] bool are_entries_stale() const;
    /// Records that a read of this topic of the store failed.
    void note_store_failed(store_topic topic);
    /// Removes expired entries; called several times a second.
    void tidy();

    /// Fills in the state of this host and, if `asker` is set, the changes that the asker lacks.
    void fill_report(peer_report& report, const peer_report* asker) const;
    /// Applies the leaving notices in another host's report, for listed upstreams only.
    void apply_leaving_notices(const peer_report& report);
    /// Applies the answer of another host to a query sent at `asked`.
    void take_answer(const peer_report& answer, time_point asked);

    [[nodiscard]] const std::shared_ptr<const site_bundle>& bundle() const { return this->current; }
    /// Returns the version of the bundle; 0 without one.
    [[nodiscard]] std::uint64_t own_version() const;
    /// Returns the text of the bundle as stored.
    [[nodiscard]] const std::string& own_bundle_text() const { return this->bundle_text; }
    /// Returns false once the bundle may have been replaced for longer than a withdrawn key may be used.
    [[nodiscard]] bool is_bundle_fresh() const;
    /// Time since the bundle was confirmed as the newest; nothing if it never was.
    [[nodiscard]] std::optional<duration> bundle_age() const;
    /// Time since the upstream entries were confirmed; nothing if they never were.
    [[nodiscard]] std::optional<duration> upstreams_age() const;
    /// Offset up to which the topic of the entries is known.
    [[nodiscard]] const std::optional<log_offset>& upstreams_end() const { return this->mirror.end(); }
    /// Returns the changes of the entries since `offset`, or all entries without one.
    [[nodiscard]] record_mirror::difference entries_since(const std::optional<log_offset>& offset) const
    {
        return this->mirror.since(offset);
    }
    [[nodiscard]] bool lacks_all_entries(const std::optional<log_offset>& offset) const
    {
        return this->mirror.lacks_everything(offset);
    }
    /// The upstreams assumed to exist.
    [[nodiscard]] const upstream_directory& upstreams() const { return this->directory; }

private:
    /// Records that the store answered a read of the entries. If the previous read failed, the outage is
    /// taken to end now. Counted from the last failed read, lapsed upstreams were dropped 1.8 s after the end
    /// of an outage, while entries may take two seconds to be rewritten.
    void record_entries_read();
    /// Returns to the layers in the entries once the entries are no longer stale.
    void expire_reported_holdings();
    /// Returns false for a host that has just started: it does not know whether the store was unavailable
    /// before, and its report must not end the grace period of other hosts for lapsed entries.
    [[nodiscard]] bool knows_store_disturbance() const;
    void confirm_upstreams_as_of(time_point asked);
    void confirm_bundle_as_of(time_point asked, const bundle_source& source);
    /// Decodes the upstream of a record with a value; logs and returns nothing if it is not usable.
    [[nodiscard]] std::optional<discovered_upstream> read_upstream(const keyed_record& record);
    void apply_leaving_notice(const upstream_id& id, const std::string& source);
    /// Logs an unusable entry once per value, as each list repeats it.
    void log_unusable(const keyed_record& record, const std::string& reason);
    void put_upstream(const keyed_record& record);
    void put_read_upstream(const std::string& name, const discovered_upstream& upstream);
    void remove_upstream(const std::string& name);
    /// Removes the upstream of an unusable record: the newest value of a key is current, and an older one may
    /// name an upstream that has left since.
    void drop_upstream(const std::string& name);
    /// Calls `take` to remove the upstream of that name, if there is one, and logs the reason.
    void retire_upstream(const std::string& name, const std::string& reason,
        const std::function<void(const upstream_id&)>& take);
    void apply_list(const std::vector<keyed_record>& records, log_offset end);
    /// Handles a restore of the store from a copy: upstreams missing in its list may be alive, and listed
    /// ones may have left.
    void begin_history(log_offset end);
    /// Decodes the upstream of a record in a list, with what is known of it since; returns nothing if it has
    /// ended.
    [[nodiscard]] std::optional<discovered_upstream> read_listed(const keyed_record& record);
    void apply_changes(const std::vector<keyed_record>& records, log_offset end);
    void apply_entries(const peer_report& answer, time_point asked);
    /// Fills in the missing changes of the entries if they are few and wanted; else reports only that newer
    /// entries are known.
    void fill_changes(peer_report& report, const peer_report& asker) const;

    site_state_settings settings;
    site_state_hooks hooks;
    std::shared_ptr<const site_bundle> current;
    std::string bundle_text;
    std::optional<time_point> bundle_confirmed;
    upstream_directory directory;
    record_mirror mirror;
    retired_upstreams past;
    /// Layers that an engine reported itself.
    struct reported_holding
    {
        layer_span held;
        time_point told{};
    };
    std::map<upstream_id, reported_holding> reported_holdings; ///< while the entries are stale
    /// Names of upstreams whose layers come from their own reports, with the time of the last such report.
    /// Once the store has been back for as long as entries take to be rewritten, the entries are applied
    /// again, also unchanged ones, which no record would restore.
    std::map<std::string, time_point> overridden_entries;
    std::map<std::string, std::size_t> unusable_entries; ///< hash of the logged value, by name
    std::optional<time_point> upstreams_confirmed;
    /// Latest time at which the store may have been unavailable, by this host's own reads.
    time_point own_store_disturbance;
    time_point started;
    bool has_store_read_failed = false; ///< any read since the start
    bool has_last_entries_read_failed = false; ///< the last read of the entries
};

} // namespace sailtiller
