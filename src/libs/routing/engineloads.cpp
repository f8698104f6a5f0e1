// SPDX-License-Identifier: Apache-2.0
#include <routing/engineloads.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Returns `pause`, doubled `doublings` times, up to `longest`.
duration double_pause(duration pause, duration longest, unsigned doublings)
{
    for (unsigned turn = 0; turn < doublings && pause < longest; ++turn) {
        pause *= 2;
    }
    return std::min(pause, longest);
}

/// Avoids the upstream for `pause`, doubled `doublings` times, up to `longest`.
void extend_avoidance(engine_load& load, time_point now, duration pause, duration longest, unsigned doublings)
{
    load.unwilling_until = now + double_pause(pause, longest, doublings);
    load.avoided_until = std::max(load.avoided_until, load.unwilling_until);
}

} // namespace

bool engine_load::has_failed(time_point now) const
{
    return this->failed_until > now || this->reported_until > now;
}

bool engine_load::accepts_requests(time_point now) const
{
    return !this->has_failed(now) && this->avoided_until <= now && this->unreachable_until <= now;
}

const engine_load& engine_loads::of(const upstream_id& id) const
{
    static const engine_load empty_load;
    const auto found = this->loads.find(id);
    return found == this->loads.end() ? empty_load : found->second;
}

void engine_loads::add(const upstream_id& id, double token_layers, bool is_head)
{
    engine_load& load = this->loads[id];
    load.token_layers += token_layers;
    ++load.requests;
    load.led += is_head ? 1 : 0;
}

void engine_loads::subtract(const upstream_id& id, double token_layers, bool is_head)
{
    const auto found = this->loads.find(id);
    if (found == this->loads.end() || found->second.requests == 0) {
        return;
    }
    engine_load& load = found->second;
    --load.requests;
    load.led -= is_head && load.led > 0 ? 1 : 0;
    // Avoids an accumulated rounding error on an idle upstream.
    load.token_layers = load.requests == 0 ? 0 : std::max(0.0, load.token_layers - token_layers);
}

void engine_loads::suspend(const upstream_id& id, time_point until)
{
    engine_load& load = this->loads[id];
    load.failed_until = std::max(load.failed_until, until);
}

void engine_loads::avoid(const upstream_id& id, time_point until)
{
    engine_load& load = this->loads[id];
    load.avoided_until = std::max(load.avoided_until, until);
}

void engine_loads::note_unwilling(const upstream_id& id, time_point now, duration pause, duration longest)
{
    engine_load& load = this->loads[id];
    extend_avoidance(load, now, pause, longest, load.unwilling_count);
    ++load.unwilling_count;
}

void engine_loads::note_failure(const upstream_id& id, time_point now, duration pause, duration longest)
{
    engine_load& load = this->loads[id];
    if (load.failure_count > 0) {
        extend_avoidance(load, now, pause, longest, load.failure_count - 1);
    }
    ++load.failure_count;
}

void engine_loads::note_unreachable(const upstream_id& id, time_point now, duration pause, duration longest)
{
    engine_load& load = this->loads[id];
    load.unreachable_since = now;
    if (load.unreachable_until > now) {
        return;
    }
    load.unreachable_until = now + double_pause(pause, longest, load.unreachable_count);
    ++load.unreachable_count;
}

void engine_loads::note_alive(const upstream_id& id, time_point at)
{
    const auto found = this->loads.find(id);
    if (found != this->loads.end() && found->second.unreachable_since < at) {
        found->second.unreachable_until = {};
    }
}

void engine_loads::forget_unreachable(const upstream_id& id)
{
    const auto found = this->loads.find(id);
    if (found != this->loads.end()) {
        found->second.unreachable_until = {};
        found->second.unreachable_since = {};
        found->second.unreachable_count = 0;
    }
}

void engine_loads::note_served(const upstream_id& id)
{
    const auto found = this->loads.find(id);
    if (found != this->loads.end()) {
        found->second.failure_count = 0;
        found->second.unreachable_until = {};
        found->second.unreachable_count = 0;
    }
}

void engine_loads::suspend_on_report(const upstream_id& id, time_point until)
{
    engine_load& load = this->loads[id];
    load.reported_until = std::max(load.reported_until, until);
}

void engine_loads::set_remote_usage(const std::map<upstream_id, upstream_usage>& shares)
{
    for (auto& [id, load] : this->loads) {
        load.remote_token_layers = 0;
        load.remote_requests = 0;
        load.remote_led = 0;
    }
    for (const auto& [id, share] : shares) {
        engine_load& load = this->loads[id];
        load.remote_token_layers = share.token_layers;
        load.remote_requests = share.requests;
        load.remote_led = share.led;
    }
}

double engine_loads::total_token_layers(const engine_load& load) const
{
    return load.token_layers * (1 + this->unreported_hosts) + load.remote_token_layers;
}

double engine_loads::total_requests(const engine_load& load) const
{
    return load.requests * (1 + this->unreported_hosts) + load.remote_requests;
}

double engine_loads::total_led(const engine_load& load) const
{
    return load.led * (1 + this->unreported_hosts) + load.remote_led;
}

void engine_loads::set_pace(const upstream_id& id, double pace)
{
    this->loads[id].pace = pace;
}

void engine_loads::resume(const upstream_id& id)
{
    engine_load& load = this->loads[id];
    load.failed_until = {};
    load.reported_until = {};
    load.avoided_until = {};
    load.unwilling_until = {};
    load.unwilling_count = 0;
    load.failure_count = 0;
    load.unreachable_until = {};
    load.unreachable_count = 0;
}

void engine_loads::forget_idle(const std::function<bool(const upstream_id&)>& is_known)
{
    std::erase_if(this->loads,
        [&is_known](const auto& item) { return item.second.requests == 0 && !is_known(item.first); });
}

} // namespace sailtiller
