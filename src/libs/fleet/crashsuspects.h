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

/// Upstreams that have ended under a request make it suspect. Three is what the users' sheets let a request
/// cost; with fewer, a request that was twice beside the cause would wait for leave.
constexpr std::size_t crashes_until_suspect = 3;
/// Sends that the whole fleet gives a suspect request, by the users' sheets.
constexpr unsigned max_trials = 3;

/// What hosts tell each other of one request under which upstreams have ended.
struct crash_record
{
    request_content content;
    std::vector<upstream_id> crashed; ///< starts of upstreams; at most `crashes_until_suspect`
    unsigned trials = 0; ///< sends that the fleet has given it since it is suspect
    /// How often an upstream has run it to its end, which proves that the ends before came of something else:
    /// all of the above counts from the last one on.
    unsigned clearances = 0;
    duration age{}; ///< since anything of it was new, or it came again
};

/// What the store's record of a suspect request says.
struct trial_record
{
    unsigned trials = 0;
    unsigned clearances = 0; ///< after which these trials were given
};

/// Times and bounds of what a host remembers.
struct crash_suspects_settings
{
    /// At most so many requests; 512 with three ends each take 270 kB. The oldest of those that are not
    /// suspect go first.
    std::size_t most_records = 512;
    /// A request that never was suspect is forgotten after so long.
    duration memory = std::chrono::seconds(60);
    /// One that is or was, counted from when it last came to any host.
    duration suspect_retention = std::chrono::minutes(10);
    /// News are told for so long: twenty rounds between hosts, as each host tells on what it hears.
    duration report_window = std::chrono::seconds(5);
    /// Records in one report, the newest; 3.4 kB with three ends each. Many engines that end at once leave
    /// hundreds.
    std::size_t max_per_report = 32;
    /// Pauses between two trials, so that a request that does end its upstreams costs one engine at once and
    /// not three, while a sound one is served by the first.
    duration second_trial_pause = std::chrono::seconds(5);
    duration third_trial_pause = std::chrono::seconds(30);
};

/// Whether a request may be sent.
enum class send_decision {
    free, ///< as any other
    trial, ///< it is suspect, and the fleet may try it once more
    later, ///< it is suspect, and its last trial isn't over or was just now
    never ///< it has ended its upstreams in all trials
};

struct send_assessment
{
    send_decision decision = send_decision::free;
    duration wait{}; ///< until it is worth coming back; of `later` and `never`
};

/// Requests under which upstreams have ended, as far as this host knows by itself and from the others. What
/// hosts know of one request can be joined in any order: the upstreams that ended under it and the most
/// trials since the latest time that it proved sound.
///
/// A request may end each upstream that begins it, and come again at any host. Forgotten with each try, one
/// that did so was sent to 18 upstreams after three had ended under it, and all streams of 29 engines broke
/// off with them (a log of one play, 9 hosts).
class crash_suspects
{
public:
    /// Told when a request has become suspect, and when a suspect one proved sound on this host.
    using suspect_event_handler = std::function<void(event_type, const request_content&)>;

    explicit crash_suspects(crash_suspects_settings settings = {}, suspect_event_handler on_news = nullptr)
        : settings(settings)
        , on_news(std::move(on_news))
    {
    }

    /// True if nothing is remembered, as on any day on which no upstream ends.
    [[nodiscard]] bool is_empty() const { return this->records.empty(); }
    [[nodiscard]] std::size_t record_count() const { return this->records.size(); }
    [[nodiscard]] std::size_t suspect_count() const;
    /// This start of an upstream ended while it began the request.
    void note_crash(const request_content& content, const upstream_id& upstream, time_point now);
    /// An upstream ran the request to its end.
    void note_completed(const request_content& content, time_point now);
    /// So many trials were given to the request, by the store's record.
    void note_trials(const request_content& content, const trial_record& record, time_point now);
    /// Whether the request, which came or is about to go out again, may be sent.
    send_assessment assess(const request_content& content, time_point now);
    /// The trials that this host knows of.
    [[nodiscard]] trial_record trials_of(const request_content& content) const;
    /// What the next report tells.
    [[nodiscard]] std::vector<crash_record> list_updates(time_point now) const;
    /// What another host told.
    void handle_updates(const std::vector<crash_record>& news, time_point now);
    /// Forgets what is too old. Returns the requests of which trials are known, whose records in the store
    /// end with it.
    std::vector<request_content> forget_old(time_point now);

private:
    struct entry
    {
        std::set<upstream_id> crashed;
        unsigned trials = 0;
        unsigned clearances = 0;
        time_point renewed{}; ///< anything was new, or the request came
        time_point last_trial{};
    };

    [[nodiscard]] static bool is_suspect(const entry& item);
    [[nodiscard]] duration retention_of(const entry& item) const;
    [[nodiscard]] duration pause_after(unsigned trials) const;
    entry& find_or_add(const request_content& content, time_point now);
    void evict_oldest();
    void add_crash(const request_content& content, entry& item, const upstream_id& upstream, time_point now);
    static void add_trials(entry& item, unsigned trials, time_point now);
    /// All that was known of the request counts no more, as it was cleared so often.
    static void apply_clearances(entry& item, unsigned clearances, time_point now);
    void tell(event_type event, const request_content& content) const;

    crash_suspects_settings settings;
    suspect_event_handler on_news;
    std::map<request_content, entry> records;
};

} // namespace sailtiller
