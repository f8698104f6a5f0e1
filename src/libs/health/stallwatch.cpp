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

std::set<upstream_id> stall_watch::find_suspects(time_point now) const
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
    return suspects;
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
    this->probe_dead(now);
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

void stall_watch::forget_dead(const std::function<bool(const upstream_id&)>& is_known)
{
    std::erase_if(this->dead, [&is_known](const auto& item) { return !is_known(item.first); });
}

void stall_watch::probe_suspects(time_point now)
{
    std::erase_if(this->quiet_until, [now](const auto& item) { return item.second <= now; });
    std::set<upstream_id> suspects = this->find_suspects(now);
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

void stall_watch::probe_dead(time_point now)
{
    for (auto& [id, due] : this->dead) {
        if (due <= now) {
            due = now + this->settings.dead_probe_interval;
            this->probe(id);
        }
    }
}

void stall_watch::probe(const upstream_id& id)
{
    this->quiet_until[id] = this->hooks.timers.now() + this->settings.probe_pause;
    this->hooks.probe(id, [this, id](bool is_alive) { this->take_answer(id, is_alive); });
}

void stall_watch::take_answer(const upstream_id& id, bool is_alive)
{
    const time_point now = this->hooks.timers.now();
    if (is_alive) {
        this->quiet_until[id] = now + this->settings.alive_pause;
        this->dead.erase(id);
        this->hooks.on_alive(id);
        return;
    }
    this->dead[id] = now + this->settings.dead_probe_interval;
    this->hooks.on_dead(id);
}

} // namespace sailtiller
