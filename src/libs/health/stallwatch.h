// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <base/timerqueue.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sailtiller {

/// Times of the watch. A sound path gives an event every 10 to 50 ms; a caller sees a pause of 200 ms as
/// late, and an engine reports a dead part only after seconds.
struct stall_watch_settings
{
    duration look_interval = std::chrono::milliseconds(10);
    /// A stream without an event for this long stands still.
    duration stall_after = std::chrono::milliseconds(90);
    /// Several streams over one upstream that are all without an event for this long say as much.
    duration joint_stall_after = std::chrono::milliseconds(65);
    std::size_t least_joint_streams = 3;
    /// The same upstream is not probed again before this.
    duration probe_pause = std::chrono::milliseconds(250);
    /// A look that comes so much too late says that this process stood still, not the streams.
    duration late_look = std::chrono::milliseconds(60);
    /// One that has answered is not probed again before this: it is slow, and streams over it stall for long.
    duration alive_pause = std::chrono::milliseconds(1000);
    /// Probes sent at one look.
    std::size_t most_probes = 12;
    /// A dead upstream is probed again at this interval: its entry stays for some seconds after it died, and
    /// nothing else would show whether it is back.
    duration dead_probe_interval = std::chrono::milliseconds(500);
    /// An upstream that runs so many times slower than it should is probed on, until it is sound again.
    double slow_pace = 1.5;
    duration slow_probe_interval = std::chrono::milliseconds(1000);
};

/// One stream under way, as the watch sees it.
struct watched_stream
{
    std::vector<upstream_id> parts; ///< of its path, the head first
    time_point due{}; ///< it stands still if nothing has come by then
    time_point since{}; ///< of its last event, or of its sending
    time_point last_event{}; ///< nothing has come if this is zero
};

/// What the watch asks and tells.
struct stall_watch_hooks
{
    timer_hooks timers;
    /// Asks an upstream for a sign of life: tells how many times slower than it should it runs, or nothing if
    /// it gave none.
    std::function<void(const upstream_id&, std::function<void(std::optional<double> pace)>)> probe;
    /// An upstream gave no sign of life while streams over it stood still. Called again at each later probe
    /// that stays without answer.
    std::function<void(const upstream_id&)> on_dead;
    /// It answered, and runs at that pace.
    std::function<void(const upstream_id&, double pace)> on_alive;
};

/// Finds dead upstreams long before the engines report them, from the streams of this host: an upstream is
/// suspected if a stream over it stands still and none over it has moved since. Suspects are probed, so a
/// false alarm costs a small request and no stream.
class stall_watch
{
public:
    /// Names a stream that is watched.
    using stream_key = std::uint64_t;

    stall_watch(stall_watch_settings settings, stall_watch_hooks hooks);

    /// Begins to look; goes on by itself.
    void start();
    /// A stream went out over a path; `first_due` is when its first event should be there.
    stream_key add(std::vector<upstream_id> parts, time_point first_due);
    /// An event came.
    void note_progress(stream_key key);
    /// The path changed; the stream has until `due` to go on.
    void change_path(stream_key key, std::vector<upstream_id> parts, time_point due);
    /// The stream is over, or has left its path.
    void remove(stream_key key);
    /// Something other than a stream speaks against an upstream: it is probed at the next look.
    void suspect(const upstream_id& id);
    /// True from a probe without answer until one that is answered.
    [[nodiscard]] bool is_dead(const upstream_id& id) const { return this->dead.count(id) != 0; }
    /// True if a stream over the upstream had an event at `since` or later.
    [[nodiscard]] bool has_moved(const upstream_id& id, time_point since) const;
    /// Forgets upstreams that no longer exist.
    void forget(const std::function<bool(const upstream_id&)>& is_known);
    /// Upstreams that are suspected now.
    [[nodiscard]] std::set<upstream_id> find_suspects(time_point now) const;

private:
    /// True if some stream is without an event for so long that an upstream may be suspected at all.
    [[nodiscard]] bool is_any_silent(time_point now) const;
    void look();
    /// When each upstream of the streams that don't stand still had its last event; nothing came if it is
    /// zero.
    [[nodiscard]] std::map<upstream_id, time_point> list_last_moves(time_point now) const;
    /// Adds the upstreams over which none of several streams has moved for a while.
    void add_jointly_silent(std::set<upstream_id>& suspects, time_point now) const;
    void probe_suspects(time_point now);
    /// Adds the parts of streams that stand still though everything on their path gave a sign of life: one of
    /// them is slow.
    void add_slow(std::set<upstream_id>& suspects, time_point now) const;
    void probe_due(std::map<upstream_id, time_point>& due, duration interval, time_point now);
    void probe(const upstream_id& id);
    void take_answer(const upstream_id& id, const std::optional<double>& pace);

    stall_watch_settings settings;
    stall_watch_hooks hooks;
    std::map<stream_key, watched_stream> streams;
    std::map<upstream_id, time_point> quiet_until; ///< no probe goes there before this
    std::set<upstream_id> asked; ///< probed, and without answer yet
    std::map<upstream_id, time_point> dead; ///< when each is probed next
    std::map<upstream_id, time_point> slow; ///< when each is probed next
    std::set<upstream_id> named; ///< suspected for other reasons than a stream's
    stream_key last_key = 0;
    time_point last_look{};
};

} // namespace sailtiller
