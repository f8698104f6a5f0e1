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

/// Times and bounds of the probes.
struct upstream_probe_settings
{
    /// The same upstream is not probed again before this: a quarter of a second is the pause that a caller
    /// takes for an end, and a second verdict within it would help nobody.
    duration pause = std::chrono::milliseconds(250);
    /// One that has answered is not probed again before this: it is slow, and streams over it stall for long.
    duration alive_probe_interval = std::chrono::milliseconds(1000);
    /// A dead upstream is probed again at this interval: its entry stays for some seconds after it died, and
    /// nothing else would show whether it is back.
    duration dead_interval = std::chrono::milliseconds(500);
    /// An upstream that runs so many times slower than it should is probed on, until it is sound again.
    double slow_pace = 1.5;
    duration slow_interval = std::chrono::milliseconds(1000);
    /// How long a verdict holds on a host that leaves probing on to others, unless they tell that it is dead
    /// still: three of their probes.
    duration unassigned_verdict_time = std::chrono::milliseconds(1500);
    /// Time for an answer before any was seen; engines answer from memory, within milliseconds.
    duration first_answer_limit = std::chrono::milliseconds(30);
    /// No verdict falls sooner, as own timers run a little late.
    duration min_answer_limit = std::chrono::milliseconds(20);
    /// Nor is an answer waited for longer by habit: one that comes later still revives the upstream.
    duration max_answer_limit = std::chrono::milliseconds(120);
    /// Probes for suspicion that all hosts together may send in a second, so that an engine that one host
    /// asks is not asked by sixty; and what one host may send at once, enough for a hall that falls dark.
    double fleet_probes_per_s = 120;
    double burst = 32;
    /// A verdict waits for so many answer limits for a sign of life from anybody else.
    int max_extensions = 4;
};

/// What the probes ask and tell.
struct upstream_probe_hooks
{
    timer_hooks timers;
    /// Asks an upstream for a sign of life: tells how many times slower than it should it runs, or nothing if
    /// it gave none. An answer may come long after the verdict.
    std::function<void(const upstream_id&, std::function<void(std::optional<double> pace)>)> send;
    /// Some upstream that is believed to be alive, other than this one; nothing if none is known.
    std::function<std::optional<upstream_id>(const upstream_id&)> find_other;
    /// True if a stream over the upstream had an event since then.
    std::function<bool(const upstream_id&, time_point since)> has_progressed;
    /// True if a stream that doesn't pass the upstream had an event since then.
    std::function<bool(const upstream_id&, time_point since)> has_other_progressed;
    /// True if this host is one of those that probe a dead or slow upstream for all hosts.
    std::function<bool(const upstream_id&)> is_assigned_prober;
    /// All verdicts of one look at once, so that nothing moves from one of them to another.
    std::function<void(const std::vector<upstream_id>&)> on_dead;
    std::function<void(const upstream_id&, double pace)> on_alive;
};

/// Probes of suspected upstreams, and the verdicts on them. A verdict needs two signs that have nothing to do
/// with each other: no answer over two connections in the time in which answers come, and meanwhile a sign of
/// life from some other upstream. Without the second, it is this host that hears nobody. On a calm day of 59
/// hosts, a new configuration kept hosts busy past a fixed limit of 32 ms: 304 false verdicts, 25 sound
/// streams broken off.
class upstream_probes
{
public:
    upstream_probes(upstream_probe_settings settings, upstream_probe_hooks hooks);

    /// Asks a suspect, unless it was asked lately, is known to be dead, or the budget is used up. Returns
    /// whether it was asked.
    bool ask(const upstream_id& id);
    /// Judges what has gone without an answer, and asks dead and slow ones again. Called at each look.
    void look();
    /// This process stood still for so long: it counts against no upstream.
    void extend_deadlines(duration stood_still);
    /// Hosts that share the budget.
    void set_live_hosts(std::size_t count) { this->live_hosts = count == 0 ? 1 : count; }
    /// Other hosts tell that it is dead: if this host watches it for all, it probes it on.
    void note_reported_dead(const upstream_id& id);
    /// Another host had an answer from it at `at`, and told its pace.
    void note_reported_alive(const upstream_id& id, double pace, time_point at);
    /// True from a verdict until a sign of life, or until its time is over.
    [[nodiscard]] bool is_dead(const upstream_id& id) const { return this->dead.count(id) != 0; }
    /// True if it was asked or has answered lately.
    [[nodiscard]] bool is_quiet(const upstream_id& id) const { return this->no_probe_before.count(id) != 0; }
    /// True if it was asked and neither an answer nor a verdict has come.
    [[nodiscard]] bool is_asked(const upstream_id& id) const { return this->asked.count(id) != 0; }
    void forget(const std::function<bool(const upstream_id&)>& is_known);
    /// How long an answer is waited for now.
    [[nodiscard]] duration answer_limit() const;

private:
    struct pending_probe
    {
        time_point sent{};
        time_point due{}; ///< it is judged then
        int extensions = 0;
        bool is_over = false; ///< nothing will come any more
    };
    struct dead_upstream
    {
        time_point since{}; ///< of the last verdict
        time_point next_probe{};
    };

    void send(const upstream_id& id);
    void take_answer(const upstream_id& id, time_point sent, const std::optional<double>& pace);
    /// True if the verdict is that it is dead.
    [[nodiscard]] bool judge(const upstream_id& id, time_point now);
    [[nodiscard]] bool has_sign_of_other_upstream(const upstream_id& id, time_point since) const;
    void probe_other(const upstream_id& id);
    void condemn(const std::vector<upstream_id>& ids);
    void mark_alive(const upstream_id& id, double pace);
    void reprobe_dead(time_point now);
    void reprobe_slow(time_point now);
    bool take_from_budget(time_point now);

    upstream_probe_settings settings;
    upstream_probe_hooks hooks;
    std::map<upstream_id, pending_probe> asked;
    std::map<upstream_id, time_point> no_probe_before; ///< no probe goes there before this
    std::map<upstream_id, dead_upstream> dead;
    std::map<upstream_id, time_point> slow; ///< when each is probed next
    running_estimate answer_time; ///< in microseconds
    /// The last answer to a probe, and the last one of another upstream.
    std::optional<std::pair<upstream_id, time_point>> last_answer;
    std::optional<std::pair<upstream_id, time_point>> other_answer;
    std::size_t live_hosts = 1;
    double budget = 0;
    time_point budget_filled{};
};

} // namespace sailtiller
