// SPDX-License-Identifier: Apache-2.0
#include <health/stalldetector.h>

#include <algorithm>

namespace sailtiller {

namespace {

bool passes(const watched_stream& stream, const upstream_id& id)
{
    return std::find(stream.parts.begin(), stream.parts.end(), id) != stream.parts.end();
}

bool has_begun(const watched_stream& stream)
{
    return stream.last_event != time_point{};
}

/// True if the stream has had events on its path and is silent long enough to count together with others.
bool is_jointly_silent(const watched_stream& stream, time_point now)
{
    return has_begun(stream) && stream.joint_due <= now;
}

} // namespace

stall_detector::stall_detector(stall_detector_settings settings, stall_detector_hooks given)
    : settings(settings)
    , hooks(std::move(given))
    , probes(settings.probes, this->make_probe_hooks())
{
}

upstream_probe_hooks stall_detector::make_probe_hooks()
{
    upstream_probe_hooks item;
    item.timers = this->hooks.timers;
    item.send = this->hooks.probe;
    item.find_other = this->hooks.find_other;
    item.has_progressed = [this](const upstream_id& id, time_point since) {
        return this->has_progressed(id, since);
    };
    item.has_other_progressed = [this](const upstream_id& id, time_point since) {
        return std::any_of(this->streams.begin(), this->streams.end(), [&id, since](const auto& stream) {
            return stream.second.last_event >= since && !passes(stream.second, id);
        });
    };
    item.is_assigned_prober = this->hooks.is_assigned_prober;
    item.on_dead = this->hooks.on_dead;
    item.on_alive = this->hooks.on_alive;
    return item;
}

void stall_detector::start()
{
    this->last_check = this->hooks.timers.now();
    this->hooks.timers.schedule_after(this->settings.look_interval, [this] { this->look(); });
}

stall_detector::stream_key stall_detector::add(
    std::vector<upstream_id> parts, const stream_expectation& expected)
{
    const time_point now = this->hooks.timers.now();
    ++this->last_key;
    watched_stream& stream = this->streams[this->last_key];
    stream.parts = std::move(parts);
    stream.expected = expected;
    stream.gap = this->model.expect_gap(expected);
    stream.since = now;
    stream.due = now + this->model.first_event_limit(expected);
    stream.joint_due = stream.due;
    return this->last_key;
}

void stall_detector::expect_next_event(watched_stream& stream, time_point now) const
{
    const double mean = stream.gap.mean();
    const duration most = silence_model::max_silence(stream.expected, mean);
    const duration least = std::min(most, this->settings.min_silent_checks * this->settings.look_interval);
    const double spread = std::max(stream.gap.deviation(), mean * this->settings.min_deviation_share);
    const auto silence = [&](double deviations) {
        return std::clamp(duration(static_cast<duration::rep>(mean + deviations * spread)), least, most);
    };
    stream.due = now + silence(this->settings.silent_deviations);
    stream.joint_due = now + silence(this->settings.joint_deviations);
}

void stall_detector::note_progress(stream_key key)
{
    const auto found = this->streams.find(key);
    if (found == this->streams.end()) {
        return;
    }
    watched_stream& stream = found->second;
    const time_point now = this->hooks.timers.now();
    if (!has_begun(stream)) {
        this->model.note_first_event(stream.expected, now - stream.since);
    } else if (stream.is_next_gap_regular) {
        stream.gap.note(static_cast<double>((now - stream.last_event).count()));
        this->model.note_gap(stream.expected, now - stream.last_event);
    }
    stream.is_next_gap_regular = true;
    stream.since = now;
    stream.last_event = now;
    this->expect_next_event(stream, now);
}

void stall_detector::change_path(
    stream_key key, std::vector<upstream_id> parts, const stream_expectation& expected)
{
    const auto found = this->streams.find(key);
    if (found == this->streams.end()) {
        return;
    }
    watched_stream& stream = found->second;
    const time_point now = this->hooks.timers.now();
    stream.parts = std::move(parts);
    stream.expected = expected;
    stream.gap = this->model.expect_gap(expected);
    stream.is_next_gap_regular = false;
    this->expect_next_event(stream, now);
    // The new stages process the prompt beside other requests: twice the time of an idle path is allowed.
    stream.due += 2 * expected.reading;
    stream.joint_due = stream.due;
}

void stall_detector::remove(stream_key key)
{
    this->streams.erase(key);
}

std::map<upstream_id, time_point> stall_detector::last_event_times(time_point now) const
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

bool stall_detector::is_any_silent(time_point now) const
{
    std::size_t jointly_silent = 0;
    for (const auto& [key, stream] : this->streams) {
        jointly_silent += is_jointly_silent(stream, now) ? 1 : 0;
        if (stream.due <= now || jointly_silent >= this->settings.min_joint_streams) {
            return true;
        }
    }
    return false;
}

std::set<upstream_id> stall_detector::find_suspects(time_point now) const
{
    if (!this->is_any_silent(now)) {
        return {}; // the common case, at a hundred checks per second
    }
    const std::map<upstream_id, time_point> last_moved = this->last_event_times(now);
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

void stall_detector::add_jointly_silent(std::set<upstream_id>& suspects, time_point now) const
{
    struct part_movement
    {
        std::size_t silent = 0;
        time_point silent_since{}; ///< last event of a silent stream
        time_point moved{}; ///< last event of any other stream
    };
    std::map<upstream_id, part_movement> movements;
    for (const auto& [key, stream] : this->streams) {
        for (const upstream_id& part : stream.parts) {
            part_movement& movement = movements[part];
            if (is_jointly_silent(stream, now)) {
                ++movement.silent;
                movement.silent_since = std::max(movement.silent_since, stream.last_event);
            } else {
                movement.moved = std::max(movement.moved, stream.last_event);
            }
        }
    }
    for (const auto& [id, movement] : movements) {
        if (movement.silent >= this->settings.min_joint_streams && movement.moved <= movement.silent_since) {
            suspects.insert(id);
        }
    }
}

void stall_detector::look()
{
    const time_point now = this->hooks.timers.now();
    const duration late = now - this->last_check - this->settings.look_interval;
    this->last_check = now;
    this->hooks.timers.schedule_after(this->settings.look_interval, [this] { this->look(); });
    if (late > this->settings.late_check_threshold) {
        this->extend_deadlines(late);
        return; // sockets may hold unread events and answers
    }
    this->probe_suspects(now);
    this->probes.look();
}

void stall_detector::extend_deadlines(duration stall_time)
{
    for (auto& [key, stream] : this->streams) {
        stream.due += stall_time;
        stream.joint_due += stall_time;
    }
    this->probes.extend_deadlines(stall_time);
}

void stall_detector::suspect(const upstream_id& id)
{
    this->unreachable.insert(id);
}

bool stall_detector::has_progressed(const upstream_id& id, time_point since) const
{
    return std::any_of(this->streams.begin(), this->streams.end(), [&id, since](const auto& item) {
        return item.second.last_event >= since && passes(item.second, id);
    });
}

std::optional<time_point> stall_detector::silent_since(stream_key key) const
{
    const auto found = this->streams.find(key);
    const bool is_silent = found != this->streams.end() && found->second.due <= this->hooks.timers.now();
    return is_silent ? std::optional(found->second.since) : std::nullopt;
}

bool stall_detector::is_progressing(const upstream_id& id) const
{
    const time_point now = this->hooks.timers.now();
    return std::any_of(this->streams.begin(), this->streams.end(), [&id, now](const auto& item) {
        return has_begun(item.second) && item.second.joint_due > now && passes(item.second, id);
    });
}

void stall_detector::forget(const std::function<bool(const upstream_id&)>& is_known)
{
    this->probes.forget(is_known);
}

void stall_detector::probe_suspects(time_point now)
{
    std::set<upstream_id> suspects = this->find_suspects(now);
    this->add_slow_stages(suspects, now);
    for (const upstream_id& id : this->unreachable) {
        this->probes.ask_unreachable(id);
    }
    this->unreachable.clear();
    for (const upstream_id& id : suspects) {
        this->probes.ask(id);
    }
}

void stall_detector::add_slow_stages(std::set<upstream_id>& suspects, time_point now) const
{
    const auto may_be_dead = [this, &suspects](const upstream_id& id) {
        const bool has_answered =
            this->probes.is_quiet(id) && !this->probes.is_asked(id) && !this->probes.is_dead(id);
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

} // namespace sailtiller
