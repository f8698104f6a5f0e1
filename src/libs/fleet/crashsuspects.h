// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/eventtype.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sailtiller {

/// Number of upstream crashes under a request that make it suspect. The requirements allow a request to cost
/// three; with fewer, a request that twice ran beside the actual cause would be held back.
constexpr std::size_t crashes_until_suspect = 3;
/// Trials that the whole fleet allows a suspect request, by the requirements.
constexpr unsigned max_trials = 3;

/// What hosts report to each other of a request under which upstreams have crashed.
struct crash_record
{
    request_content content;
    std::vector<upstream_id> crashed; ///< starts of upstreams; at most `crashes_until_suspect`
    unsigned trials = 0; ///< sends that the fleet has allowed since the request became suspect
    /// Number of times that an upstream completed the request, which proves that earlier crashes had another
    /// cause. The fields above count from the last clearance on.
    unsigned clearances = 0;
    duration age{}; ///< since the record last changed, or the request last arrived
};

/// The store's record of a suspect request.
struct trial_record
{
    unsigned trials = 0;
    unsigned clearances = 0; ///< after which these trials were allowed
};

/// Retention times and bounds of the records.
struct crash_suspects_settings
{
    /// Maximum number of records; 512 with three crashes each take 270 kB. The oldest that are not suspect
    /// are evicted first.
    std::size_t most_records = 512;
    /// Retention of a request that never was suspect.
    duration memory = std::chrono::seconds(60);
    /// Retention of a request that is or was suspect, from its last arrival at any host.
    duration suspect_retention = std::chrono::minutes(10);
    /// Time for which a change is reported: twenty rounds between hosts, as each host forwards what it
    /// receives.
    duration report_window = std::chrono::seconds(5);
    /// Records in one report, the newest; 3.4 kB with three crashes each. Many engines that crash at once
    /// leave hundreds of records.
    std::size_t max_per_report = 32;
    /// Pauses between trials: a request that crashes its upstreams costs one engine at a time and not three,
    /// while a harmless one is served by the first trial.
    duration second_trial_pause = std::chrono::seconds(5);
    duration third_trial_pause = std::chrono::seconds(30);
};

/// Whether a request may be sent.
enum class send_decision {
    free, ///< not suspect
    trial, ///< suspect, and the fleet may try it once more
    later, ///< suspect, and its last trial is still running or too recent
    never ///< its upstreams crashed in all trials
};

struct send_assessment
{
    send_decision decision = send_decision::free;
    duration wait{}; ///< until a retry makes sense; with `later` and `never`
};

/// Requests under which upstreams have crashed, from this host's own observations and the reports of others.
/// Reports on a request can be merged in any order: the set of crashed upstreams and the maximum of the
/// trials since the last clearance.
///
/// A request may crash each upstream that starts it, and be retried at any host. Without these records, such
/// a request was sent to 18 upstreams after three had crashed under it, and all streams of 29 engines were
/// cut off (9 hosts).
class crash_suspects
{
public:
    /// Called when a request becomes suspect, and when a suspect one is cleared on this host.
    using suspect_event_handler = std::function<void(event_type, const request_content&)>;

    explicit crash_suspects(crash_suspects_settings settings = {}, suspect_event_handler on_news = nullptr)
        : settings(settings)
        , on_news(std::move(on_news))
    {
    }

    /// True if there are no records, as long as no upstream crashes.
    [[nodiscard]] bool is_empty() const { return this->records.empty(); }
    [[nodiscard]] std::size_t record_count() const { return this->records.size(); }
    [[nodiscard]] std::size_t suspect_count() const;
    /// Records that this start of an upstream crashed while it started the request.
    void note_crash(const request_content& content, const upstream_id& upstream, time_point now);
    /// Records that an upstream completed the request.
    void note_completed(const request_content& content, time_point now);
    /// Records the trials allowed to the request by the store's record.
    void note_trials(const request_content& content, const trial_record& record, time_point now);
    /// Decides whether a request that arrived or is to be retried may be sent.
    send_assessment assess(const request_content& content, time_point now);
    /// Returns the trials known to this host.
    [[nodiscard]] trial_record trials_of(const request_content& content) const;
    /// Returns the records for the next report.
    [[nodiscard]] std::vector<crash_record> list_updates(time_point now) const;
    /// Merges the records of another host's report.
    void handle_updates(const std::vector<crash_record>& news, time_point now);
    /// Removes expired records. Returns those requests that had trials, so that their records in the store
    /// can be removed too.
    std::vector<request_content> forget_old(time_point now);

private:
    struct entry
    {
        std::set<upstream_id> crashed;
        unsigned trials = 0;
        unsigned clearances = 0;
        time_point renewed{}; ///< time of the last change, or of the last arrival of the request
        time_point last_trial{};
    };

    [[nodiscard]] static bool is_suspect(const entry& item);
    [[nodiscard]] duration retention_of(const entry& item) const;
    [[nodiscard]] duration pause_after(unsigned trials) const;
    entry& find_or_add(const request_content& content, time_point now);
    void evict_oldest();
    void add_crash(const request_content& content, entry& item, const upstream_id& upstream, time_point now);
    static void add_trials(entry& item, unsigned trials, time_point now);
    /// Resets the record if the request was cleared more often than known here.
    static void apply_clearances(entry& item, unsigned clearances, time_point now);
    void tell(event_type event, const request_content& content) const;

    crash_suspects_settings settings;
    suspect_event_handler on_news;
    std::map<request_content, entry> records;
};

} // namespace sailtiller
