// SPDX-License-Identifier: Apache-2.0
#include "upstreamhealth.h"

#include <runtime/eventlog.h>

#include <cmath>

namespace sailtiller {

namespace {

/// An upstream over which this host's streams moved within this time is there, whatever another host says:
/// a sound stream has an event every 10 to 50 ms.
constexpr duration moved_lately = std::chrono::milliseconds(80);
/// A change of an engine's pace that is worth a line in the log.
constexpr double pace_margin = 0.5;

} // namespace

upstream_health::upstream_health(event_loop& loop, upstream_link& link, const upstream_directory& upstreams,
    part_loads& loads, duration death_suspension, upstream_health_hooks hooks)
    : loop(loop)
    , link(link)
    , upstreams(upstreams)
    , loads(loads)
    , death_suspension(death_suspension)
    , hooks(std::move(hooks))
    , watch({}, this->make_watch_hooks())
{
}

void upstream_health::start()
{
    this->watch.start();
}

void upstream_health::ask(const upstream_id& id)
{
    this->probe(id, [](const std::optional<double>&) {});
}

void upstream_health::forget(const std::function<bool(const upstream_id&)>& is_known)
{
    this->watch.forget(is_known);
}

void upstream_health::report_suspicions(peer_report& report) const
{
    for (const auto& [id, load] : this->loads.all()) {
        const duration left = load.failed_until - this->loop.now();
        if (left > duration::zero()) {
            report.suspicions.push_back({id, left});
        }
    }
}

void upstream_health::take_suspicions(const peer_report& report)
{
    const time_point now = this->loop.now();
    for (const upstream_suspicion& item : report.suspicions) {
        // Streams that move over it say that only the other host can't reach it.
        if (!this->watch.has_moved(item.id, now - moved_lately)) {
            this->loads.suspend_on_word(item.id, now + item.left);
        }
    }
}

stall_watch_hooks upstream_health::make_watch_hooks()
{
    stall_watch_hooks watch_hooks;
    watch_hooks.timers = this->loop.hooks();
    watch_hooks.probe = [this](const upstream_id& id,
                            const std::function<void(std::optional<double>)>& on_answer) {
        this->probe(id, on_answer);
    };
    watch_hooks.on_dead = [this](const upstream_id& id) { this->take_death(id); };
    watch_hooks.on_alive = [this](const upstream_id& id, double pace) { this->take_pace(id, pace); };
    return watch_hooks;
}

void upstream_health::probe(
    const upstream_id& id, const std::function<void(std::optional<double> pace)>& on_answer)
{
    const directory_entry* entry = this->upstreams.find(id);
    if (entry == nullptr) {
        this->loop.post([on_answer] { on_answer(std::nullopt); });
        return;
    }
    this->link.probe(
        entry->upstream.address, [this, id, on_answer](const std::optional<engine_report>& report) {
            if (report && report->held) {
                this->hooks.on_held(id, *report->held);
            }
            on_answer(report ? std::optional(report->pace) : std::nullopt);
        });
}

void upstream_health::take_death(const upstream_id& id)
{
    const time_point now = this->loop.now();
    const bool is_news = this->loads.of(id).failed_until <= now;
    this->hooks.on_belief(is_news ? event_type::upstream_dead : event_type::upstream_still_dead);
    log_event(
        is_news ? log_level::warning : log_level::debug, event_type::upstream_dead, {{"peer", id.value()}});
    this->loads.suspend(id, now + this->death_suspension);
    this->hooks.on_dead(id);
}

void upstream_health::take_pace(const upstream_id& id, double pace)
{
    const part_load& known = this->loads.of(id);
    const bool was_dead = known.has_failed(this->loop.now());
    const bool is_news = was_dead || std::abs(known.pace - pace) > pace_margin;
    log_event(is_news ? log_level::info : log_level::debug, event_type::upstream_alive,
        {{"peer", id.value()}, {"pace", std::to_string(pace)}});
    if (was_dead) {
        this->loads.resume(id);
    }
    this->loads.set_pace(id, pace);
}

} // namespace sailtiller
