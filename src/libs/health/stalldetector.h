// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <health/silencemodel.h>
#include <health/upstreamprobes.h>

#include <vector>

namespace sailtiller {

/// Times of the watch.
struct stall_detector_settings
{
    /// Events come tens of milliseconds apart at the soonest, so this adds little to a silence.
    duration look_interval = std::chrono::milliseconds(10);
    /// A look that comes so much too late says that this process stood still; timers alone are later than
    /// planned by less.
    duration late_check_threshold = std::chrono::milliseconds(5);
    /// A stream is silent if one in 1,400 gaps is longer (in mean deviations) ...
    double silent_deviations = timeout_deviations;
    /// ... or, together with others over the same upstream, if one in ten is: three of them are one in a
    /// thousand.
    double joint_deviations = 1.6;
    std::size_t min_joint_streams = 3;
    /// Gaps are taken to vary by this share of their mean at the least: regular ones show nothing of what a
    /// new request beside them does to their engines.
    double min_deviation_share = 0.25;
    /// No silence is judged sooner than by so many looks.
    int min_silent_checks = 3;
    upstream_probe_settings probes;
};

/// One stream under way, as the watch sees it.
struct watched_stream
{
    std::vector<upstream_id> parts; ///< of its path, the head first
    stream_expectation expected;
    running_estimate gap; ///< between its events, in microseconds
    time_point due{}; ///< it is silent if nothing has come by then
    time_point joint_due{}; ///< the same together with others
    time_point since{}; ///< of its last event, or of its sending
    time_point last_event{}; ///< nothing has come if this is zero
    bool is_next_gap_regular = false; ///< its next gap is one between two events on one path
};

/// What the watch asks and tells.
struct stall_detector_hooks
{
    timer_hooks timers;
    /// Asks an upstream for a sign of life, as for `upstream_probe_hooks`.
    std::function<void(const upstream_id&, std::function<void(std::optional<double> pace)>)> probe;
    /// Some upstream other than this one that is believed to be alive; nothing if none is known.
    std::function<std::optional<upstream_id>(const upstream_id&)> find_other;
    /// True if this host is one of those that probe a dead or slow upstream for all hosts.
    std::function<bool(const upstream_id&)> is_assigned_prober;
    /// An upstream gave no sign of life while streams over it stood still. Called again at each later probe
    /// that stays without answer.
    /// All that are found dead at one look.
    std::function<void(const std::vector<upstream_id>&)> on_dead;
    /// It answered, and runs at that pace.
    std::function<void(const upstream_id&, double pace)> on_alive;
};

/// Finds dead upstreams long before the engines report them, from the streams of this host: an upstream is
/// suspected if a stream over it is silent for longer than its gaps let expect, and none over it has moved
/// since. Suspects are probed, so a false alarm costs a small request and no stream.
class stall_detector
{
public:
    /// Names a stream that is watched.
    using stream_key = std::uint64_t;

    stall_detector(stall_detector_settings settings, stall_detector_hooks hooks);

    /// Begins to look; goes on by itself.
    void start();
    /// A stream went out over a path.
    stream_key add(std::vector<upstream_id> parts, const stream_expectation& expected);
    /// An event came.
    void note_progress(stream_key key);
    /// The path changed; what the new parts must read first takes `expected.reading`.
    void change_path(stream_key key, std::vector<upstream_id> parts, const stream_expectation& expected);
    /// The stream is over, or has left its path.
    void remove(stream_key key);
    /// Something other than a stream speaks against an upstream: it is probed at the next look.
    void suspect(const upstream_id& id);
    /// True from a verdict until a sign of life.
    [[nodiscard]] bool is_dead(const upstream_id& id) const { return this->probes.is_dead(id); }
    /// True if a stream over the upstream had an event at `since` or later.
    [[nodiscard]] bool has_progressed(const upstream_id& id, time_point since) const;
    /// True if a stream over the upstream has events, and the next one isn't overdue.
    [[nodiscard]] bool is_progressing(const upstream_id& id) const;
    /// Forgets upstreams that no longer exist.
    void forget(const std::function<bool(const upstream_id&)>& is_known);
    /// Upstreams that are suspected now.
    [[nodiscard]] std::set<upstream_id> find_suspects(time_point now) const;
    /// What is known of the upstreams by probes, for the word of other hosts.
    [[nodiscard]] upstream_probes& prober() { return this->probes; }

private:
    upstream_probe_hooks make_probe_hooks();
    /// True if some stream is silent, or so many are that an upstream may be suspected for them together.
    [[nodiscard]] bool is_any_silent(time_point now) const;
    void look();
    /// This process stood still for so long: it counts against nobody.
    void extend_deadlines(duration stood_still);
    void expect_next_event(watched_stream& stream, time_point now) const;
    /// When each upstream of the streams that aren't silent had its last event; nothing came if it is zero.
    [[nodiscard]] std::map<upstream_id, time_point> last_event_times(time_point now) const;
    /// Adds the upstreams over which several streams are silent for a while and none has moved since.
    void add_jointly_silent(std::set<upstream_id>& suspects, time_point now) const;
    /// Adds the parts of streams that stand still though everything on their path gave a sign of life: one of
    /// them is slow.
    void add_slow_stages(std::set<upstream_id>& suspects, time_point now) const;
    void probe_suspects(time_point now);

    stall_detector_settings settings;
    stall_detector_hooks hooks;
    upstream_probes probes;
    silence_model model;
    std::map<stream_key, watched_stream> streams;
    std::set<upstream_id> named; ///< suspected for other reasons than a stream's
    stream_key last_key = 0;
    time_point last_check{};
};

} // namespace sailtiller
