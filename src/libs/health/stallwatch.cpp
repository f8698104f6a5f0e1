// SPDX-License-Identifier: Apache-2.0
#include <health/stallwatch.h>

#include <algorithm>

namespace sailtiller {

stall_watch::stall_watch(stall_watch_settings settings, stall_watch_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{
}

void stall_watch::start()
{
    this->last_look = this->hooks.timers.now();
    this->hooks.timers.schedule_after(this->settings.look_interval, [this] { this->look(); });
}

stall_watch::stream_key stall_watch::add(std::vector<upstream_id> parts, time_point first_due)
{
    ++this->last_key;
    this->streams[this->last_key] = {std::move(parts), first_due, this->hooks.timers.now(), {}};
    return this->last_key;
}

void stall_watch::note_progress(stream_key key)
{
    const auto found = this->streams.find(key);
    if (found != this->streams.end()) {
        const time_point now = this->hooks.timers.now();
        found->second.since = now;
        found->second.last_event = now;
        found->second.due = now + this->settings.stall_after;
    }
}

void stall_watch::change_path(stream_key key, std::vector<upstream_id> parts, time_point due)
{
    const auto found = this->streams.find(key);
    if (found != this->streams.end()) {
        found->second.parts = std::move(parts);
        found->second.due = due;
    }
}

void stall_watch::remove(stream_key key)
{
    this->streams.erase(key);
}

std::map<upstream_id, time_point> stall_watch::list_last_moves(time_point now) const
{
    std::map<upstream_id, time_point> last_moved;
    for (const auto& [key, stream] : this->streams) {
        if (stream.due <= now) {
            continue;
        }
        for (const upstream_id& part : stream.parts) {
            time_point& moved = last_moved[part];
            moved = std::max(moved, stream.last_event);
        }
    }
    return last_moved;
}

bool stall_watch::is_any_silent(time_point now) const
{
    return std::any_of(this->streams.begin(), this->streams.end(), [this, now](const auto& item) {
        const watched_stream& stream = item.second;
        const bool has_begun = stream.last_event != time_point{};
        return stream.due <= now
            || (has_begun && now - stream.last_event >= this->settings.joint_stall_after);
    });
}

std::set<upstream_id> stall_watch::find_suspects(time_point now) const
{
    if (!this->is_any_silent(now)) {
        return {}; // nearly always, at a hundred looks a second
    }
    const std::map<upstream_id, time_point> last_moved = this->list_last_moves(now);
    std::set<upstream_id> suspects;
    for (const auto& [key, stream] : this->streams) {
        if (stream.due > now) {
            continue;
        }
        for (const upstream_id& part : stream.parts) {
            const auto moved = last_moved.find(part);
            if (moved == last_moved.end() || moved->second <= stream.since) {
                suspects.insert(part);
            }
        }
    }
    this->add_jointly_silent(suspects, now);
    return suspects;
}

void stall_watch::add_jointly_silent(std::set<upstream_id>& suspects, time_point now) const
{
    struct part_movement
    {
        std::size_t streams = 0;
        time_point last{};
    };
    std::map<upstream_id, part_movement> movements;
    for (const auto& [key, stream] : this->streams) {
        const bool has_begun = stream.last_event != time_point{};
        // A stream whose path was just changed is waited for.
        const bool is_expected = stream.due <= stream.last_event + this->settings.stall_after;
        for (const upstream_id& part : stream.parts) {
            part_movement& movement = movements[part];
            movement.streams += has_begun && is_expected ? 1 : 0;
            movement.last = std::max(movement.last, stream.last_event);
        }
    }
    for (const auto& [id, movement] : movements) {
        if (movement.streams >= this->settings.least_joint_streams
            && now - movement.last >= this->settings.joint_stall_after) {
            suspects.insert(id);
        }
    }
}

void stall_watch::look()
{
    const time_point now = this->hooks.timers.now();
    const bool is_late = now - this->last_look > this->settings.look_interval + this->settings.late_look;
    this->last_look = now;
    this->hooks.timers.schedule_after(this->settings.look_interval, [this] { this->look(); });
    if (is_late) {
        // Events may lie unread in the sockets; every stream gets its time anew.
        for (auto& [key, stream] : this->streams) {
            stream.due = std::max(stream.due, now + this->settings.stall_after);
        }
        return;
    }
    this->probe_suspects(now);
    this->probe_due(this->dead, this->settings.dead_probe_interval, now);
    this->probe_due(this->slow, this->settings.slow_probe_interval, now);
}

void stall_watch::suspect(const upstream_id& id)
{
    this->named.insert(id);
}

bool stall_watch::has_moved(const upstream_id& id, time_point since) const
{
    return std::any_of(this->streams.begin(), this->streams.end(), [&id, since](const auto& item) {
        const std::vector<upstream_id>& parts = item.second.parts;
        return item.second.last_event >= since && std::find(parts.begin(), parts.end(), id) != parts.end();
    });
}

void stall_watch::forget(const std::function<bool(const upstream_id&)>& is_known)
{
    const auto is_gone = [&is_known](const auto& item) { return !is_known(item.first); };
    std::erase_if(this->dead, is_gone);
    std::erase_if(this->slow, is_gone);
}

void stall_watch::probe_suspects(time_point now)
{
    std::erase_if(this->quiet_until, [now](const auto& item) { return item.second <= now; });
    std::set<upstream_id> suspects = this->find_suspects(now);
    this->add_slow(suspects, now);
    suspects.merge(this->named);
    this->named.clear();
    std::size_t sent = 0;
    for (const upstream_id& id : suspects) {
        if (this->quiet_until.count(id) != 0 || this->is_dead(id) || sent >= this->settings.most_probes) {
            continue;
        }
        ++sent;
        this->probe(id);
    }
}

void stall_watch::add_slow(std::set<upstream_id>& suspects, time_point now) const
{
    const auto may_be_dead = [this, &suspects](const upstream_id& id) {
        const bool has_answered = this->quiet_until.count(id) != 0 && this->asked.count(id) == 0;
        return suspects.count(id) != 0 && !has_answered;
    };
    std::set<upstream_id> slow_ones;
    for (const auto& [key, stream] : this->streams) {
        const bool is_explained = std::any_of(stream.parts.begin(), stream.parts.end(), may_be_dead);
        if (stream.due <= now && !is_explained) {
            slow_ones.insert(stream.parts.begin(), stream.parts.end());
        }
    }
    suspects.merge(slow_ones);
}

void stall_watch::probe_due(std::map<upstream_id, time_point>& due, duration interval, time_point now)
{
    for (auto& [id, next] : due) {
        if (next <= now) {
            next = now + interval;
            this->probe(id);
        }
    }
}

void stall_watch::probe(const upstream_id& id)
{
    this->quiet_until[id] = this->hooks.timers.now() + this->settings.probe_pause;
    this->asked.insert(id);
    this->hooks.probe(id, [this, id](std::optional<double> pace) { this->take_answer(id, pace); });
}

void stall_watch::take_answer(const upstream_id& id, const std::optional<double>& pace)
{
    const time_point now = this->hooks.timers.now();
    this->asked.erase(id);
    if (!pace) {
        this->dead[id] = now + this->settings.dead_probe_interval;
        this->hooks.on_dead(id);
        return;
    }
    this->quiet_until[id] = now + this->settings.alive_pause;
    this->dead.erase(id);
    if (*pace >= this->settings.slow_pace) {
        this->slow[id] = now + this->settings.slow_probe_interval;
    } else {
        this->slow.erase(id);
    }
    this->hooks.on_alive(id, *pace);
}

} // namespace sailtiller
