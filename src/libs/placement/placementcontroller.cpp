// SPDX-License-Identifier: Apache-2.0
#include <placement/placementcontroller.h>

#include <algorithm>

namespace sailtiller {

placement_controller::placement_controller(placement_controller_settings settings,
    placement_controller_hooks hooks, const upstream_directory& directory)
    : settings(settings)
    , hooks(std::move(hooks))
    , directory(directory)
{
}

void placement_controller::drop_finished(time_point now)
{
    std::erase_if(this->pending, [this, now](const auto& item) {
        const directory_entry* entry = this->directory.find(item.first);
        if (entry == nullptr || entry->upstream.held == item.second.order.span) {
            return true;
        }
        return !item.second.is_awaiting_answer && item.second.expires <= now;
    });
    std::erase_if(this->backoff_until, [now](const auto& item) { return item.second <= now; });
}

std::set<upstream_id> placement_controller::list_dead(const service_id& service) const
{
    std::set<upstream_id> dead;
    std::size_t count = 0;
    for (const auto& [id, entry] : this->directory.entries()) {
        if (entry.upstream.service != service) {
            continue;
        }
        ++count;
        if (this->hooks.is_dead(id)) {
            dead.insert(id);
        }
    }
    const double most = this->settings.max_dead_share * static_cast<double>(count);
    return static_cast<double>(dead.size()) > most ? std::set<upstream_id>() : dead;
}

placement_controller::engine_view placement_controller::list_engines(
    const engine_profile& profile, const service_id& service, time_point now)
{
    engine_view view;
    const std::set<upstream_id> dead = this->list_dead(service);
    for (const auto& [id, entry] : this->directory.entries()) {
        const discovered_upstream& upstream = entry.upstream;
        if (upstream.service != service || upstream.is_leaving) {
            this->recently_seen.erase(upstream.address);
            continue;
        }
        if (entry.is_lapsed || dead.count(id) != 0
            || profile.find_card(upstream.card, upstream.held.end) == nullptr) {
            continue;
        }
        const auto alone = this->backoff_until.find(id);
        if (upstream.held.is_empty() && alone != this->backoff_until.end() && alone->second > now) {
            continue;
        }
        const auto ordered = this->pending.find(id);
        const bool is_ordered = ordered != this->pending.end();
        view.is_fresh = view.is_fresh && upstream.held.is_empty() && !is_ordered;
        view.engines.push_back({.id = id,
            .data_hall = upstream.data_hall,
            .card = upstream.card,
            .held = is_ordered ? ordered->second.order.span : upstream.held,
            .is_loading = is_ordered});
        this->recently_seen[upstream.address] = {view.engines.back(), now};
    }
    return view;
}

std::vector<placeable_engine> placement_controller::list_absent(time_point now)
{
    std::erase_if(this->recently_seen,
        [this, now](const auto& item) { return now - item.second.at >= this->settings.return_grace_period; });
    std::vector<placeable_engine> absent;
    for (const auto& [address, seen] : this->recently_seen) {
        if (seen.at == now) {
            continue;
        }
        absent.push_back(seen.engine);
        absent.back().held = {};
        absent.back().is_absent = true;
    }
    return absent;
}

bool placement_controller::must_wait_for_discovery(const engine_view& view, time_point now)
{
    if (view.engines.size() > this->engines_seen) {
        this->last_appeared = now;
        this->first_seen = this->first_seen.value_or(now);
    }
    this->engines_seen = view.engines.size();
    if (!view.is_fresh || !this->first_seen) {
        return view.engines.empty();
    }
    const bool is_quiet = now - this->last_appeared >= this->settings.discovery_settle_time;
    return !is_quiet && now - *this->first_seen < this->settings.max_discovery_time;
}

observation_phase placement_controller::determine_phase(
    const std::vector<placeable_engine>& absent, time_point now)
{
    this->duty_since = this->duty_since.value_or(now);
    if (!this->pending.empty() || !absent.empty()) {
        this->last_activity = now;
    }
    if (now - *this->duty_since < this->settings.stabilization_window) {
        return observation_phase::begun;
    }
    return now - this->last_activity < this->settings.stabilization_window ? observation_phase::watched
                                                                           : observation_phase::stable;
}

void placement_controller::update_used_shares(
    const engine_profile& profile, std::vector<placeable_engine>& engines) const
{
    for (placeable_engine& engine : engines) {
        const directory_entry* entry = this->directory.find(engine.id);
        if (this->hooks.used_share && entry != nullptr) {
            engine.used_share = this->hooks.used_share(profile, entry->upstream);
        }
        if (this->hooks.used_slot_share && entry != nullptr) {
            engine.used_slot_share = this->hooks.used_slot_share(profile, entry->upstream);
        }
    }
}

void placement_controller::reconcile(const engine_profile& profile, const service_id& service)
{
    const time_point now = this->hooks.timers.now();
    this->drop_finished(now);
    const std::optional<fencing_token> token = this->hooks.token();
    const engine_view view = this->list_engines(profile, service, now);
    if (this->must_wait_for_discovery(view, now) || !token) {
        this->duty_since.reset();
        return;
    }
    this->resend_unanswered(*token, now);
    const std::vector<placeable_engine> absent = this->list_absent(now);
    const observation_phase phase = this->determine_phase(absent, now);
    std::vector<placeable_engine> engines = view.engines;
    engines.insert(engines.end(), absent.begin(), absent.end());
    if (phase == observation_phase::stable) {
        this->last_activity = now; // the search for better layouts is slow on large deployments
        this->update_used_shares(profile, engines);
    }
    std::vector<placement_step> steps = plan_layers(profile, engines, this->settings.aim, phase);
    std::stable_partition(
        steps.begin(), steps.end(), [](const placement_step& step) { return step.closes_coverage_gap; });
    for (const placement_step& step : steps) {
        if (this->pending.count(step.id) == 0 && this->may_start_load(profile, step)) {
            this->give(profile, step, *token);
        }
    }
}

bool placement_controller::may_start_load(const engine_profile& profile, const placement_step& step) const
{
    if (step.closes_coverage_gap || profile.loads_at_once == 0
        || this->pending.size() < profile.loads_at_once) {
        return true;
    }
    return std::none_of(this->pending.begin(), this->pending.end(),
        [](const auto& item) { return item.second.closes_coverage_gap; });
}

std::vector<upstream_id> placement_controller::engines_with_pending_orders() const
{
    std::vector<upstream_id> ids;
    for (const auto& [id, item] : this->pending) {
        ids.push_back(id);
    }
    return ids;
}

void placement_controller::resend_unanswered(fencing_token token, time_point now)
{
    for (auto& [id, item] : this->pending) {
        if (!item.is_begun && !item.is_awaiting_answer
            && now - item.since >= this->settings.resend_interval) {
            item.order.token = token;
            this->send(item);
        }
    }
}

duration placement_controller::predict_load(const engine_profile& profile, const layer_span& span) const
{
    const double share = profile.layers == 0 ? 1 : static_cast<double>(span.count()) / profile.layers;
    const double crowd = profile.loads_at_once == 0
        ? 1
        : std::max(1.0, static_cast<double>(this->pending.size() + 1) / profile.loads_at_once);
    constexpr double microseconds = 1e6;
    return duration(static_cast<duration::rep>(profile.load_seconds * share * crowd * microseconds));
}

void placement_controller::give(
    const engine_profile& profile, const placement_step& step, fencing_token token)
{
    const directory_entry* entry = this->directory.find(step.id);
    if (entry == nullptr) {
        return;
    }
    const time_point now = this->hooks.timers.now();
    pending_order& item = this->pending[step.id];
    item.order = {step.id, entry->upstream.address, step.span, token, std::nullopt, false};
    item.closes_coverage_gap = step.closes_coverage_gap;
    item.expires = now + this->predict_load(profile, step.span) + this->settings.load_slack;
    this->send(item);
}

void placement_controller::send(pending_order& item)
{
    item.since = this->hooks.timers.now();
    item.is_awaiting_answer = true;
    const layer_order order = item.order;
    this->hooks.send(order, [this, order](order_result result) {
        this->hooks.on_result(order, result);
        if (result == order_result::fenced) {
            this->hooks.on_fenced(order.token);
        }
        this->handle_result(order.id, order.span, result);
    });
}

void placement_controller::handle_result(const upstream_id& id, const layer_span& span, order_result result)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end() || found->second.order.span != span) {
        return;
    }
    pending_order& item = found->second;
    item.is_awaiting_answer = false;
    if (result == order_result::begun) {
        item.is_begun = true;
        return;
    }
    if (result == order_result::unanswered) {
        return; // the engine may have begun it; the same order is sent again
    }
    this->pending.erase(found);
    this->backoff_until[id] = this->hooks.timers.now() + this->settings.refusal_backoff;
}

} // namespace sailtiller
