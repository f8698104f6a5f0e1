// SPDX-License-Identifier: Apache-2.0
#include <admission/capacityestimate.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Share of the objective that the mean delay may take: delays of single requests spread around the mean.
constexpr double delay_share = 0.3;
/// Share of slow first events from which the service as a whole is overloaded: more than the streams that one
/// dead engine of several keeps waiting.
constexpr double overloaded_slow_share = 0.2;
/// Part of the capacity that is withheld for each unit of excess pressure. The backlog then falls with a time
/// constant of nearly three seconds; with reports up to two seconds old, a faster one oscillates.
constexpr double drain_gain = 0.1;
constexpr double max_drain = 0.7;
/// Admission adapts to an overload within this time, less than that after which callers return.
constexpr double tightening_seconds = 0.25;
/// The known capacity follows the measured one within this time; single reports vary more.
constexpr double capacity_seconds = 2;
/// Growth of the admitted rate per second up to the known capacity, as a share of that.
constexpr double fast_growth = 0.4;
/// Growth beyond the known capacity at first; it increases by as much with each second without an overload,
/// as the capacity rises when engines return.
constexpr double slow_growth = 0.03;
constexpr double known_share = 0.9; ///< of the known capacity, up to which growth is fast
/// Nothing binds once so many times the demand may be admitted.
constexpr double unbound_ratio = 1.3;
/// Share of the demand that is always admitted, so that a recovery shows.
constexpr double min_admitted_share = 0.05;
/// Longer gaps between updates than this count as this long.
constexpr double max_step_seconds = 1;

} // namespace

void capacity_estimate::update(const load_summary& load, duration objective, time_point now)
{
    const double seconds =
        std::min(std::chrono::duration<double>(now - this->updated).count(), max_step_seconds);
    this->updated = now;
    this->demand = load.demand();
    const double target = static_cast<double>(std::max<duration::rep>(objective.count(), 1)) * delay_share;
    // The prediction leads but errs after a sudden rise of the demand, as first events come later, and while
    // requests wait at a dead engine; what was observed confirms it.
    const double predicted = static_cast<double>(load.predicted_delay().count()) / target;
    const double confirmed = load.slow_share() / overloaded_slow_share;
    this->last_pressure = confirmed >= 1 ? predicted : std::min(predicted, confirmed);
    if (this->last_pressure > 1) {
        this->overloaded_at = now;
        this->tighten(load, seconds);
    } else if (this->allowed) {
        this->loosen(seconds, now);
    }
}

void capacity_estimate::tighten(const load_summary& load, double seconds)
{
    const double drain = std::min(drain_gain * (this->last_pressure - 1), max_drain);
    const double wanted = load.first_events * (1 - drain);
    const double present = std::min(this->allowed.value_or(this->demand), this->demand);
    this->allowed = present + (wanted - present) * std::min(1.0, seconds / tightening_seconds);
    this->known_capacity = this->known_capacity <= 0 ? load.first_events
                                                     : this->known_capacity
            + (load.first_events - this->known_capacity) * std::min(1.0, seconds / capacity_seconds);
}

void capacity_estimate::loosen(double seconds, time_point now)
{
    const double calm_seconds = std::chrono::duration<double>(now - this->overloaded_at).count();
    const bool is_below_known = *this->allowed < known_share * this->known_capacity;
    const double growth = is_below_known ? fast_growth : slow_growth * (1 + calm_seconds);
    this->allowed = *this->allowed + growth * this->known_capacity * seconds;
    if (this->known_capacity <= 0 || *this->allowed >= unbound_ratio * this->demand) {
        this->allowed.reset();
    }
}

double capacity_estimate::admitted_share() const
{
    if (!this->allowed || this->demand <= 0) {
        return 1;
    }
    return std::clamp(*this->allowed / this->demand, min_admitted_share, 1.0);
}

} // namespace sailtiller
