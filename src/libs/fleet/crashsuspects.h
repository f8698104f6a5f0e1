// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/eventtype.h>
#include <fleet/passhistory.h>
#include <fleet/suspectid.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sailtiller {

/// Number of upstream crashes that make a request or a part of prompts suspect. The requirements allow a
/// request to cost three and a part five; with fewer, a request that twice ran beside the actual cause would
/// be held back.
constexpr std::size_t crashes_until_suspect = 3;
/// Trials that the whole fleet allows a suspect, by the requirements.
constexpr unsigned max_trials = 3;

/// Records in one report between hosts, suspects first and then the newest; 3.2 kB with three crashes each.
/// Many engines that crash at once leave hundreds of records.
constexpr std::size_t max_reported_crash_records = 32;

/// What one request may be blamed for: itself and the shared parts of its prompt.
using suspect_list = std::vector<suspect_id>;

/// A start of an upstream that crashed.
struct reported_crash
{
    upstream_id upstream;
    duration age{};
};

/// What hosts report to each other of a request or part under which upstreams have crashed.
struct crash_record
{
    suspect_id suspect;
    std::vector<reported_crash> crashes; ///< since it last passed
    unsigned trials = 0; ///< sends that the fleet has allowed since it became suspect
    /// Number of times that it passed while it was suspect, which proves that earlier crashes had another
    /// cause. The fields above count from the last clearance on.
    unsigned clearances = 0;
    duration age{}; ///< since the record last changed, or the suspect last arrived
    std::optional<duration> pass_age; ///< since it was last known to pass
};

/// The store's record of a suspect.
struct trial_record
{
    unsigned trials = 0;
    unsigned clearances = 0; ///< after which these trials were allowed
};

/// Retention times and bounds of the records.
struct crash_suspects_settings
{
    /// Maximum number of records; 512 with three crashes each take 260 kB. Those with few crashes are evicted
    /// first, the oldest of them before others.
    std::size_t most_records = 512;
    /// Maximum number of crashes in a record; more than `crashes_until_suspect` change nothing.
    std::size_t max_crashes = 8;
    /// Retention of what never was suspect.
    duration memory = std::chrono::seconds(60);
    /// Retention of what is or was suspect, from its last arrival at any host.
    duration suspect_retention = std::chrono::minutes(10);
    /// Time for which a change is reported: twenty rounds between hosts, as each host forwards what it
    /// receives.
    duration report_window = std::chrono::seconds(5);
    /// Pauses between trials: a suspect that crashes its upstreams costs one engine at a time and not three,
    /// while a harmless one is served by the first trial.
    duration second_trial_pause = std::chrono::seconds(5);
    duration third_trial_pause = std::chrono::seconds(30);
    /// Time after which the outcome of a running trial is known to all hosts.
    duration trial_time = std::chrono::seconds(1);
    /// A prompt with several parts that are suspect, or have not passed lately, can't tell them apart by its
    /// trial. It waits for this long once a trial is due, as it would use up the trials of a harmless part,
    /// which prompts that hold no other such part may clear.
    duration separation_time = std::chrono::seconds(5);
    /// A part that passed within this time before its first crash is in regular use. Then crashes within
    /// `burst_time` count once: engines that crash together for another reason all hold streams with it, and
    /// it passes again before the next burst.
    duration regular_use_time = std::chrono::seconds(10);
    duration burst_time = std::chrono::milliseconds(500);
};

/// Whether a request may be sent. Of several suspects the last one in this order decides.
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
    suspect_list suspects; ///< of the request's, those that are suspect
};

/// A suspect as shown to operators.
struct suspect_state
{
    suspect_id suspect;
    std::size_t crashes = 0;
    unsigned trials = 0;
    duration age{}; ///< since this host suspects it
};

/// Requests and parts of prompts under which upstreams have crashed, from this host's own observations and
/// the reports of others. A crash is attributed to all that its request holds. What passes the beginning of a
/// stream is cleared of the crashes before, so that of all that is named by the same crashes only what never
/// passes becomes suspect. Reports can be merged in any order: the crashes since the last pass, and the
/// maximum of the trials since the last clearance.
///
/// A request, or a part that requests share, may crash each upstream that starts it, and come again at any
/// host. Without these records, a request was sent to 18 upstreams after three had crashed under it, and
/// requests with one part to 97 after five (9 and 3 hosts).
class crash_suspects
{
public:
    /// Called when something becomes suspect, and when a suspect is cleared on this host.
    using suspect_event_handler = std::function<void(event_type, const suspect_id&)>;

    explicit crash_suspects(crash_suspects_settings settings = {}, suspect_event_handler on_news = nullptr)
        : settings(settings)
        , on_news(std::move(on_news))
    {
    }

    /// Sets what is called after a change that other hosts should learn before the next report.
    void set_urgent_handler(std::function<void()> handler) { this->on_urgent = std::move(handler); }
    /// True if there are no records, as long as no upstream crashes.
    [[nodiscard]] bool is_empty() const { return this->records.empty(); }
    [[nodiscard]] std::size_t record_count() const { return this->records.size(); }
    [[nodiscard]] std::size_t suspect_count(suspect_kind kind) const;
    [[nodiscard]] std::vector<suspect_state> list_suspects(time_point now) const;
    /// Records that this start of an upstream crashed while it started a request that holds these.
    void note_crash(const suspect_list& causes, const upstream_id& upstream, time_point now);
    /// Records that a request with these passed the phase in which it may crash an upstream.
    void note_passed(const suspect_list& causes, time_point now);
    /// Records the trials allowed to a suspect by the store's record; when they were is not known.
    void note_trials(const suspect_id& suspect, const trial_record& record, time_point now);
    /// Records a trial that this host was granted and that runs now.
    void note_granted_trial(const suspect_id& suspect, const trial_record& record, time_point now);
    /// Decides whether a request that arrived or is to be retried may be sent.
    send_assessment assess(const suspect_list& causes, time_point now);
    /// Returns the trials known to this host.
    [[nodiscard]] trial_record trials_of(const suspect_id& suspect) const;
    /// Returns the records for a report to other hosts, at most so many.
    [[nodiscard]] std::vector<crash_record> list_updates(
        time_point now, std::size_t most = max_reported_crash_records) const;
    /// Merges the records of another host's report.
    void handle_updates(const std::vector<crash_record>& news, time_point now);
    /// Removes expired records. Returns those suspects that had trials, so that their records in the store
    /// can be removed too.
    suspect_list forget_old(time_point now);

private:
    struct entry
    {
        suspect_kind kind = suspect_kind::request;
        std::map<upstream_id, time_point> crashes; ///< since the last pass
        std::optional<time_point> last_pass;
        unsigned trials = 0;
        unsigned clearances = 0;
        time_point renewed{}; ///< time of the last change, or of the last arrival of the suspect
        time_point last_trial{};
        time_point trial_end{}; ///< until which the last trial may run
        std::optional<time_point> suspect_since;
    };

    [[nodiscard]] bool is_in_regular_use(const entry& item) const;
    [[nodiscard]] std::size_t count_crashes(const entry& item) const;
    [[nodiscard]] bool is_suspect(const entry& item) const;
    [[nodiscard]] duration retention_of(const entry& item) const;
    [[nodiscard]] duration pause_after(unsigned trials) const;
    /// True if the part has passed lately at any host, as far as this one knows.
    [[nodiscard]] bool has_passed_lately(const suspect_id& part, time_point now) const;
    /// Time from which the fleet may give the next trial.
    [[nodiscard]] time_point next_trial_due(const entry& item) const;
    [[nodiscard]] send_assessment assess_one(const entry& item, time_point now) const;
    /// Order in which records are reported and kept, the last first.
    [[nodiscard]] std::tuple<bool, bool, time_point> rank(const entry& item) const;
    entry& find_or_add(const suspect_id& suspect, time_point now);
    void evict_lowest();
    /// Returns true if the crash was new.
    bool add_crash(entry& item, const upstream_id& upstream, time_point at, time_point now);
    /// Clears the record of what happened until the pass.
    void apply_pass(entry& item, time_point at, time_point now) const;
    /// Returns true if there were more trials than known here.
    static bool add_trials(entry& item, unsigned trials, time_point now);
    /// Resets the record if the suspect was cleared more often than known here.
    static void apply_clearances(entry& item, unsigned clearances, time_point now);
    /// Tells of a change to or from suspicion. Returns true if there was one.
    bool update_suspicion(const suspect_id& suspect, entry& item, time_point now) const;
    /// Returns true if other hosts should learn what the record adds at once.
    bool merge(const crash_record& record, time_point now);
    void report_urgently() const;

    crash_suspects_settings settings;
    suspect_event_handler on_news;
    std::function<void()> on_urgent;
    std::map<suspect_id, entry> records;
    pass_history passes;
};

} // namespace sailtiller
