// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <base/timerqueue.h>
#include <health/runningestimate.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sailtiller {

/// Intervals and limits of the probes.
struct upstream_probe_settings
{
    /// Minimum interval between probes of one upstream. Readers take a pause of a quarter of a second for the
    /// end, so a second verdict within it has no benefit.
    duration pause = std::chrono::milliseconds(250);
    /// Minimum interval after an answer: the upstream is slow, and streams over it stall for long.
    duration alive_probe_interval = std::chrono::milliseconds(1000);
    /// Probe interval of a dead upstream. Its entry remains for some seconds after its death, and nothing
    /// else shows whether it is back.
    duration dead_interval = std::chrono::milliseconds(500);
    /// An upstream with at least this pace is probed until it is faster.
    double slow_pace = 1.5;
    duration slow_interval = std::chrono::milliseconds(1000);
    /// Time for which a dead verdict holds on a host that is not an assigned prober, unless other hosts
    /// report the upstream dead again: three of their probes.
    duration unassigned_verdict_time = std::chrono::milliseconds(1500);
    /// Answer limit before any answer was observed. Engines answer from memory, within milliseconds.
    duration first_answer_limit = std::chrono::milliseconds(30);
    /// Lower bound of the answer limit, as timers of this process run a little late.
    duration min_answer_limit = std::chrono::milliseconds(20);
    /// Upper bound of the answer limit. A later answer still marks the upstream alive.
    duration max_answer_limit = std::chrono::milliseconds(120);
    /// Probes of suspects per second of all hosts together, so that one engine is not probed by sixty hosts
    /// at once. `burst` is the number that one host may send at once, enough for a hall that fails.
    double fleet_probes_per_s = 120;
    double burst = 32;
    /// Number of answer limits for which a verdict waits for a sign of life of another upstream.
    int max_extensions = 4;
};

/// Callbacks of the probes.
struct upstream_probe_hooks
{
    timer_hooks timers;
    /// Sends a probe. The callback gets the pace of the upstream, or nothing if the probe failed. An answer
    /// may come long after the verdict.
    std::function<void(const upstream_id&, std::function<void(std::optional<double> pace)>)> send;
    /// Returns some other upstream that is considered alive; empty if none is known.
    std::function<std::optional<upstream_id>(const upstream_id&)> find_other;
    /// True if a stream over the upstream had an event at `since` or later.
    std::function<bool(const upstream_id&, time_point since)> has_progressed;
    /// True if a stream that does not use the upstream had an event at `since` or later.
    std::function<bool(const upstream_id&, time_point since)> has_other_progressed;
    /// True if this host is an assigned prober of the upstream: it probes the dead or slow upstream for all
    /// hosts.
    std::function<bool(const upstream_id&)> is_assigned_prober;
    /// Called with all dead verdicts of one check at once, so that no stream moves from one of them to
    /// another.
    std::function<void(const std::vector<upstream_id>&)> on_dead;
    std::function<void(const upstream_id&, double pace)> on_alive;
};

/// Probes suspected upstreams and decides whether they are dead. A dead verdict requires two independent
/// signs: no answer over two connections within the answer limit, and meanwhile a sign of life of another
/// upstream. Without the latter, this host has lost its connectivity. With a fixed limit of 32 ms, a new
/// configuration that kept 59 hosts busy on a calm day caused 304 false verdicts, and 25 working streams were
/// broken off.
class upstream_probes
{
public:
    upstream_probes(upstream_probe_settings settings, upstream_probe_hooks hooks);

    /// Probes a suspect unless it was probed recently, is known to be dead, or the budget is used up. Returns
    /// whether it was probed.
    bool ask(const upstream_id& id);
    /// As `ask` for an upstream to which a connection failed. An earlier answer doesn't prevent the probe,
    /// and it has a budget of its own: when many streams are late, their suspects use up the other one.
    bool ask_unreachable(const upstream_id& id);
    /// Evaluates probes without an answer and probes dead and slow upstreams again. Called periodically.
    void look();
    /// Extends the deadlines by the time for which this process was stalled.
    void extend_deadlines(duration stall_time);
    /// Sets the number of hosts that share the budget.
    void set_live_hosts(std::size_t count) { this->live_hosts = count == 0 ? 1 : count; }
    /// Other hosts report the upstream dead. Renews an own verdict; an assigned prober probes the upstream.
    void note_reported_dead(const upstream_id& id);
    /// Another host got an answer from the upstream at `at`, with this pace.
    void note_reported_alive(const upstream_id& id, double pace, time_point at);
    /// True from a dead verdict until a sign of life, or until the verdict expires.
    [[nodiscard]] bool is_dead(const upstream_id& id) const { return this->dead.count(id) != 0; }
    /// True if the upstream was probed or has answered recently.
    [[nodiscard]] bool is_quiet(const upstream_id& id) const { return this->no_probe_before.count(id) != 0; }
    /// True if a probe has neither an answer nor a verdict yet.
    [[nodiscard]] bool is_asked(const upstream_id& id) const { return this->asked.count(id) != 0; }
    void forget(const std::function<bool(const upstream_id&)>& is_known);
    /// Current time limit for an answer.
    [[nodiscard]] duration answer_limit() const;

private:
    struct pending_probe
    {
        time_point sent{};
        time_point due{}; ///< time of the verdict
        int extensions = 0;
        bool is_over = false; ///< the probe failed; no answer will come
    };
    /// Probes that may be sent at once; refilled at this host's share of the fleet's rate.
    struct probe_budget
    {
        double left = 0;
        time_point filled{};
    };
    struct dead_upstream
    {
        time_point since{}; ///< time of the last verdict
        time_point next_probe{};
    };

    void send(const upstream_id& id);
    void handle_answer(const upstream_id& id, time_point sent, const std::optional<double>& pace);
    /// True if the upstream is found dead.
    [[nodiscard]] bool judge(const upstream_id& id, time_point now);
    [[nodiscard]] bool has_sign_of_other_upstream(const upstream_id& id, time_point since) const;
    void probe_other(const upstream_id& id);
    void mark_dead(const std::vector<upstream_id>& ids);
    void mark_alive(const upstream_id& id, double pace);
    void reprobe_dead(time_point now);
    void reprobe_slow(time_point now);
    bool take_from(probe_budget& budget, time_point now) const;

    upstream_probe_settings settings;
    upstream_probe_hooks hooks;
    std::map<upstream_id, pending_probe> asked;
    std::map<upstream_id, time_point> no_probe_before; ///< end of the probe interval
    /// The same for upstreams to which a connection failed.
    std::map<upstream_id, time_point> no_unreachable_probe_before;
    std::map<upstream_id, dead_upstream> dead;
    std::map<upstream_id, time_point> slow; ///< time of the next probe of each slow upstream
    running_estimate answer_time; ///< in microseconds
    /// Last answer to a probe, and last answer of a different upstream.
    std::optional<std::pair<upstream_id, time_point>> last_answer;
    std::optional<std::pair<upstream_id, time_point>> other_answer;
    std::size_t live_hosts = 1;
    probe_budget budget;
    probe_budget unreachable_budget; ///< for upstreams to which a connection failed
};

} // namespace sailtiller
