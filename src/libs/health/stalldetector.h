// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <health/silencemodel.h>
#include <health/upstreamprobes.h>

#include <optional>
#include <vector>

namespace sailtiller {

/// Intervals and thresholds of the stall detector.
struct stall_detector_settings
{
    /// Events are at least tens of milliseconds apart, so this interval delays detection only a little.
    duration look_interval = std::chrono::milliseconds(10);
    /// A check that is late by more than this means that the process was stalled; ordinary timer delays are
    /// shorter.
    duration late_check_threshold = std::chrono::milliseconds(5);
    /// A stream is silent after a gap of this many mean deviations, which one in 1,400 gaps exceeds.
    double silent_deviations = timeout_deviations;
    /// Several streams over the same upstream are silent together after gaps of this many mean deviations,
    /// which one in ten gaps exceeds; for three streams together, one in a thousand.
    double joint_deviations = 1.6;
    std::size_t min_joint_streams = 3;
    /// Lower bound of the deviation of gaps, as a share of their mean. Regular gaps do not show how a new
    /// request on the same engines delays them.
    double min_deviation_share = 0.25;
    /// Lower bound of the tolerated silence, in check intervals.
    int min_silent_checks = 3;
    upstream_probe_settings probes;
};

/// State of one monitored stream.
struct watched_stream
{
    std::vector<upstream_id> parts; ///< stages of its path, the head first
    stream_expectation expected;
    running_estimate gap; ///< between its events, in microseconds
    time_point due{}; ///< the stream counts as silent if no event came by then
    time_point joint_due{}; ///< the same together with other streams
    time_point since{}; ///< time of its last event, or of its sending
    time_point last_event{}; ///< zero if no event has come
    bool is_next_gap_regular = false; ///< the next gap lies between two events on the same path
};

/// Callbacks of the stall detector.
struct stall_detector_hooks
{
    timer_hooks timers;
    /// Sends a probe to an upstream, as `upstream_probe_hooks::send`.
    std::function<void(const upstream_id&, std::function<void(std::optional<double> pace)>)> probe;
    /// Returns some other upstream that is considered alive; empty if none is known.
    std::function<std::optional<upstream_id>(const upstream_id&)> find_other;
    /// True if this host is an assigned prober of the upstream: it probes the dead or slow upstream for all
    /// hosts.
    std::function<bool(const upstream_id&)> is_assigned_prober;
    /// Called with all upstreams found dead in one check: they did not answer a probe while streams over them
    /// stalled. Called again for each later probe without an answer.
    std::function<void(const std::vector<upstream_id>&)> on_dead;
    /// Called when an upstream answered, with its pace.
    std::function<void(const upstream_id&, double pace)> on_alive;
};

/// Detects dead upstreams from the streams of this host, long before the engines report them. An upstream is
/// suspected if a stream over it is silent for longer than its gaps predict and no stream over it has
/// progressed since. Suspects are probed, so a false alarm costs a small request and no stream.
class stall_detector
{
public:
    /// Identifies a monitored stream.
    using stream_key = std::uint64_t;

    stall_detector(stall_detector_settings settings, stall_detector_hooks hooks);

    /// Starts the periodic checks.
    void start();
    /// Adds a stream that was sent over a path.
    stream_key add(std::vector<upstream_id> parts, const stream_expectation& expected);
    /// Records an event of the stream.
    void note_progress(stream_key key);
    /// Records a change of path. `expected.reading` is the time that the new stages need for prompt
    /// processing.
    void change_path(stream_key key, std::vector<upstream_id> parts, const stream_expectation& expected);
    /// Removes a stream that ended or left its path.
    void remove(stream_key key);
    /// Marks an upstream as suspect after a failed connection: it is probed at the next check.
    void suspect(const upstream_id& id);
    /// True from a dead verdict until a sign of life.
    [[nodiscard]] bool is_dead(const upstream_id& id) const { return this->probes.is_dead(id); }
    /// Time of the stream's last event, or of its sending, if its next event is overdue; empty if it is not.
    [[nodiscard]] std::optional<time_point> silent_since(stream_key key) const;
    /// True if a stream over the upstream had an event at `since` or later.
    [[nodiscard]] bool has_progressed(const upstream_id& id, time_point since) const;
    /// True if a stream over the upstream has had events and the next one is not overdue.
    [[nodiscard]] bool is_progressing(const upstream_id& id) const;
    /// Removes upstreams that no longer exist.
    void forget(const std::function<bool(const upstream_id&)>& is_known);
    /// Upstreams that are currently suspected.
    [[nodiscard]] std::set<upstream_id> find_suspects(time_point now) const;
    /// Probes and their results, to be updated by reports of other hosts.
    [[nodiscard]] upstream_probes& prober() { return this->probes; }

private:
    upstream_probe_hooks make_probe_hooks();
    /// True if some stream is silent, or enough streams are jointly silent to suspect an upstream.
    [[nodiscard]] bool is_any_silent(time_point now) const;
    void look();
    /// Extends all deadlines by the time for which this process was stalled.
    void extend_deadlines(duration stall_time);
    void expect_next_event(watched_stream& stream, time_point now) const;
    /// Time of the last event of each upstream, over the streams that are not silent; zero if there was none.
    [[nodiscard]] std::map<upstream_id, time_point> last_event_times(time_point now) const;
    /// Adds the upstreams over which several streams are jointly silent and none has progressed since.
    void add_jointly_silent(std::set<upstream_id>& suspects, time_point now) const;
    /// Adds the stages of stalled streams whose stages have all given a sign of life: one of them is slow.
    void add_slow_stages(std::set<upstream_id>& suspects, time_point now) const;
    void probe_suspects(time_point now);

    stall_detector_settings settings;
    stall_detector_hooks hooks;
    upstream_probes probes;
    silence_model model;
    std::map<stream_key, watched_stream> streams;
    std::set<upstream_id> unreachable; ///< to be probed, as a connection failed
    stream_key last_key = 0;
    time_point last_check{};
};

} // namespace sailtiller
