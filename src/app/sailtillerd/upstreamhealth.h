// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "upstreamlink.h"

#include <base/eventtype.h>
#include <directory/upstreamdirectory.h>
#include <fleet/peerreport.h>
#include <health/reporteddeaths.h>
#include <health/stalldetector.h>
#include <routing/engineloads.h>

#include <set>

namespace sailtiller {

/// What the health of the upstreams tells the rest of its host.
struct upstream_health_hooks
{
    /// An upstream is believed dead, newly or still.
    std::function<void(event_type)> on_belief;
    /// These upstreams are dead: the streams over them must leave them. Nothing new goes there any more.
    std::function<void(const std::vector<upstream_id>&)> on_dead;
    /// A dead upstream has given a sign of life, to this host or to another one.
    std::function<void(const upstream_id&)> on_back;
    /// An upstream said in a report that it leaves.
    std::function<void(const upstream_id&)> on_leaving;
    /// An engine told in a report which layers it holds.
    std::function<void(const upstream_id&, const layer_span& held)> on_held;
    /// What an unanswered probe of the upstream shows now.
    std::function<probe_evidence(const upstream_id&)> judge_silence;
    /// Another one answered at the address of an upstream: the upstream has ended.
    std::function<void(const upstream_id&)> on_replaced;
};

/// What a site's host believes of its upstreams: which are dead and how slowly the others run, by its own
/// streams and probes, and on the word of the other hosts.
class upstream_health
{
public:
    /// Nothing new goes to a dead upstream for `death_suspension` after each probe without answer.
    upstream_health(event_loop& loop, upstream_link& link, const upstream_directory& upstreams,
        engine_loads& loads, host_id self, duration death_suspension, upstream_health_hooks hooks);

    /// Begins to look at the streams; goes on by itself.
    void start();
    /// The watch over this host's streams.
    [[nodiscard]] stall_detector& stream_watch() { return this->watch; }
    /// Asks an engine for its report, whatever its streams do.
    void ask(const upstream_id& id);
    /// An upstream has ended, as a younger start stands in its place: its streams leave it now, rather than
    /// at their engines' refusals one by one, or after the seconds for which engines wait for a dead part.
    void note_ended(const upstream_id& id);
    /// Forgets upstreams that no longer exist.
    void forget(const std::function<bool(const upstream_id&)>& is_known);
    /// This host can't connect to a group of upstreams any more, or can again: its failed connections to them
    /// tell about its way, and not about them.
    void note_way_changed(const upstream_group& group);
    /// The hosts that live, this one included, in the order of their names.
    void set_live_hosts(std::vector<host_id> hosts);
    /// Adds the upstreams that failed this host's requests, and those that answered its probes lately.
    void fill_report(peer_report& report) const;
    /// Takes over which upstreams failed another host's requests, and which answered its probes.
    void take_report(const peer_report& report);

private:
    stall_detector_hooks make_watch_hooks();
    void probe(const upstream_id& id, const std::function<void(std::optional<double> pace)>& on_answer);
    /// An engine's own report came.
    void note_answer(const upstream_id& id, const engine_report& report);
    /// Some upstream other than this one that is believed to be alive.
    [[nodiscard]] std::optional<upstream_id> find_other(const upstream_id& id) const;
    [[nodiscard]] bool is_assigned_prober(const upstream_id& id) const;
    /// A sign of life given at `at` is older than the failure for which nothing new goes to the upstream.
    [[nodiscard]] bool is_outdated(const upstream_id& id, time_point at) const;
    void take_suspicion(const upstream_suspicion& item, const host_id& reporter);
    /// These engines gave no sign of life.
    void take_deaths(const std::vector<upstream_id>& silent);
    /// Decides on upstreams whose silence showed nothing yet, again and again while there are such.
    void schedule_decision();
    void decide();
    void probe_again(const upstream_id& id);
    void mark_dead(const std::vector<upstream_id>& ids);
    void note_death(const upstream_id& id);
    /// An engine gave a sign of life and runs so many times slower than it should.
    void take_pace(const upstream_id& id, double pace);

    event_loop& loop;
    upstream_link& link;
    const upstream_directory& upstreams;
    engine_loads& loads;
    host_id self;
    duration death_suspension;
    upstream_health_hooks hooks;
    stall_detector watch;
    reported_deaths told;
    /// An upstream's last answer to a probe of this host.
    struct answered_probe
    {
        double pace = 1;
        time_point at{};
    };
    std::map<upstream_id, answered_probe> answers; ///< of the last moments
    std::set<upstream_id> undecided; ///< silent ones that may be cut off from this host alone
    std::vector<host_id> live_hosts;
    bool is_decision_scheduled = false;
};

} // namespace sailtiller
