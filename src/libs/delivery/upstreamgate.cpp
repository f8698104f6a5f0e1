// SPDX-License-Identifier: Apache-2.0
#include <delivery/upstreamgate.h>

#include <algorithm>

namespace sailtiller {

bool upstream_gate::is_open() const
{
    return this->context.limits.is_empty() && this->context.pauses.is_empty();
}

bool upstream_gate::may_send(const upstream_id& id) const
{
    return !this->context.pauses.is_paused(id, this->context.timers.now())
        && this->context.limits.may_send(id);
}

bool upstream_gate::take(const upstream_id& id) const
{
    return !this->context.pauses.is_paused(id, this->context.timers.now()) && this->context.limits.take(id);
}

bool upstream_gate::is_closed(const upstream_id& id) const
{
    const std::optional<time_point> pause_end = this->context.pauses.end_of(id, this->context.timers.now());
    if (pause_end && *pause_end > this->order.hold_end(this->context.settings)) {
        return true;
    }
    // A returning caller is held until this host gets its share of the limit.
    return !this->order.is_returning_caller() && this->context.limits.is_exhausted(id);
}

std::optional<duration> upstream_gate::retry_after_if_closed(
    const candidate_test& is_candidate, const std::set<upstream_id>& avoided) const
{
    if (this->is_open()) {
        return std::nullopt;
    }
    const time_point now = this->context.timers.now();
    bool is_any_closed = false;
    // Other hosts may not be paused, so the retry-after time doesn't cover all of a long pause.
    duration until_return = this->context.settings.retry_after;
    for (const auto& [id, entry] : this->context.directory.entries()) {
        if (!is_candidate(entry.upstream)) {
            continue;
        }
        if (!this->is_closed(id)) {
            if (avoided.count(id) == 0 && this->context.loads.of(id).accepts_requests(now)) {
                return std::nullopt;
            }
            continue;
        }
        is_any_closed = true;
        if (const std::optional<time_point> pause_end = this->context.pauses.end_of(id, now)) {
            until_return = std::min(until_return, *pause_end - now);
        }
    }
    return is_any_closed ? std::optional(until_return) : std::nullopt;
}

} // namespace sailtiller
