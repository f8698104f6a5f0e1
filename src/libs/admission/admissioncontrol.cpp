// SPDX-License-Identifier: Apache-2.0
#include <admission/admissioncontrol.h>
#include <base/randomfraction.h>
#include <base/timetext.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// Time between two tries of a held request.
constexpr duration hold_turn = std::chrono::milliseconds(25);
/// Weight of one request in the mean work.
constexpr double work_weight = 0.05;
/// Part of the objective after which a first event is slow: early enough to act before it is late.
constexpr double slow_share_of_objective = 0.5;
/// Pressure from which forecasts may refuse requests.
constexpr double confirmed_pressure = 0.5;
/// Predicted wait, relative to the time that the objective leaves for it, from which and up to which
/// admission is drawn. Hosts with the same old reports would otherwise stop and start together.
constexpr double drawn_from = 0.1;
constexpr double drawn_to = 0.7;
/// Part of the objective that counts as left for waiting if the request itself takes longer.
constexpr double min_wait_share = 0.25;
/// Age of the reports that show a head's load; shares of a head's slots are kept for arrivals of this time.
constexpr double report_age_seconds = 1;
/// Standard deviations of the number of arrivals; more than that come in one of forty such times.
constexpr double reserved_deviations = 2;
/// Callers return after this time at least; a backlog lasts that long.
constexpr duration min_retry_after = std::chrono::seconds(1);
/// Longest time until a backlog counts as gone.
constexpr duration max_drain_time = std::chrono::seconds(2);
/// Time over which the callers beyond the capacity return, per unit of excess demand; as long as a usual
/// burst, of which nothing is left then.
constexpr duration return_spread = std::chrono::seconds(2);
constexpr double min_excess = 0.25;
constexpr double max_excess = 2.5;
/// Callers wait up to a third of their remaining time before they return.
constexpr double max_retry_share = 1.0 / 3;

} // namespace

admission_control::admission_control(timer_hooks timers, random_function random)
    : queue(timers, hold_turn)
    , timers(std::move(timers))
    , random(std::move(random))
{
}

bool admission_control::apply_terms(const site_bundle& bundle, const service_id& service)
{
    if (this->terms_of && this->terms_of->first == bundle.version && this->terms_of->second == service) {
        return this->has_ranks;
    }
    std::optional<duration> strictest;
    std::optional<std::pair<int, int>> priorities; // lowest and highest number
    for (const service_route& route : bundle.routes) {
        const bool is_for_service = std::any_of(route.targets.begin(), route.targets.end(),
            [&service](const route_target& target) { return target.service == service; });
        if (!is_for_service) {
            continue;
        }
        strictest = std::min(strictest.value_or(route.latency_objective), route.latency_objective);
        const auto [least, most] = priorities.value_or(std::pair(route.priority, route.priority));
        priorities = {std::min(least, route.priority), std::max(most, route.priority)};
    }
    const upstream_pool* pool = bundle.find_pool(service);
    const bool has_slots = pool != nullptr && pool->engine && pool->engine->request_slots > 0;
    this->terms_of = {bundle.version, service};
    this->has_ranks = has_slots && priorities && priorities->first < priorities->second;
    this->objective = strictest.value_or(duration::zero());
    this->own.set_slow_delay(scale(this->objective, slow_share_of_objective));
    return this->has_ranks;
}

void admission_control::note_arrival(const admission_request& request)
{
    this->own.note_arrival(request.kind, this->timers.now());
    this->mean_work = this->mean_work <= 0 ? request.work
                                           : this->mean_work + work_weight * (request.work - this->mean_work);
}

void admission_control::refresh()
{
    const time_point now = this->timers.now();
    this->load = this->own.summary(now);
    this->load.add(this->peer_load);
    this->estimate.update(this->load, this->objective, now);
}

double admission_control::admitted_share()
{
    this->refresh();
    return this->estimate.admitted_share();
}

class_share admission_control::share_of(const admission_request& request)
{
    const double mean_share = this->admitted_share();
    if (mean_share >= 1) {
        return {1, 1};
    }
    const std::map<request_class, class_share> shares = divide_admissions(this->load.arrivals, mean_share);
    const auto found = shares.find(request.kind);
    class_share share = found == shares.end() ? class_share{0, mean_share} : found->second;
    share.kept = weigh_share(share.kept, request.work, this->mean_work);
    share.admitted = weigh_share(share.admitted, request.work, this->mean_work);
    return share;
}

admission_draw admission_control::draw(const admission_request& request)
{
    const class_share share = this->share_of(request);
    const double number = draw_fraction(this->random);
    if (number >= share.admitted) {
        return admission_draw::refused;
    }
    return number < share.kept ? admission_draw::kept : admission_draw::admitted;
}

bool admission_control::is_in_time(const admission_request& request, const path_forecast& forecast)
{
    this->refresh();
    if (!this->estimate.is_binding() && this->estimate.pressure() < confirmed_pressure) {
        return true;
    }
    // A longer wait of any request delays those of the strictest objective behind it.
    const duration left = std::clamp(
        request.objective - forecast.idle_time, scale(this->objective, min_wait_share), this->objective);
    const double share = static_cast<double>(forecast.wait().count())
        / static_cast<double>(std::max<duration::rep>(left.count(), 1));
    return share < drawn_from + (drawn_to - drawn_from) * draw_fraction(this->random);
}

double admission_control::reserved_slots(const request_class& kind, std::size_t heads)
{
    double per_second = 0;
    for (const auto& [other, arrivals] : this->load.arrivals) {
        per_second += other.is_more_urgent_than(kind) ? arrivals : 0;
    }
    if (heads == 0) {
        return 0;
    }
    return reserved_deviations * std::sqrt(per_second * report_age_seconds / static_cast<double>(heads));
}

double admission_control::urgent_share(int priority)
{
    const auto shares = divide_admissions(this->load.arrivals, this->estimate.admitted_share());
    double urgent = 0;
    double all = 0;
    for (const auto& [kind, per_second] : this->load.arrivals) {
        const double admitted = per_second * shares.at(kind).admitted;
        all += admitted;
        urgent += kind.priority < priority ? admitted : 0;
    }
    return all <= 0 ? 0 : urgent / all;
}

duration admission_control::retry_after(const admission_request& request)
{
    const double excess = std::clamp(1 / this->admitted_share() - 1, min_excess, max_excess);
    double classes = 0;
    double position = 0;
    for (const auto& [kind, arrivals] : this->load.arrivals) {
        classes += 1;
        position += kind <= request.kind ? 1 : 0;
    }
    const double part = classes > 0 ? std::max(position, 1.0) / classes : 1;
    const duration drain_time = this->estimate.pressure() > 1
        ? std::min(this->load.predicted_delay(), max_drain_time)
        : duration::zero();
    const duration wanted = std::max(min_retry_after, drain_time)
        + scale(return_spread, excess * part * draw_fraction(this->random));
    const duration time_left = request.deadline - this->timers.now();
    return std::max(min_retry_after, std::min(wanted, scale(time_left, max_retry_share)));
}

std::string admission_control::describe()
{
    this->refresh();
    const auto percent = [](double share) { return std::to_string(std::lround(share * 100)); };
    return percent(this->load.slow_share()) + " % of the first events slow, predicted after "
        + write_milliseconds(this->load.predicted_delay()) + " ms, objective "
        + write_milliseconds(this->objective) + " ms, " + percent(this->estimate.admitted_share())
        + " % of the demand admitted";
}

} // namespace sailtiller
