// SPDX-License-Identifier: Apache-2.0
#include <routing/upstreampauses.h>

#include <algorithm>

namespace sailtiller {

void upstream_pauses::note(const upstream_id& id, duration pause, time_point now)
{
    if (this->ends.count(id) == 0) {
        this->evict_if_full(now);
    }
    time_point& end = this->ends[id];
    end = std::max(end, now + std::min(pause, this->settings.longest_pause));
}

void upstream_pauses::evict_if_full(time_point now)
{
    if (this->ends.size() < this->settings.most_records) {
        return;
    }
    this->remove_expired(now);
    if (this->ends.size() < this->settings.most_records) {
        return;
    }
    const auto earliest = std::min_element(this->ends.begin(), this->ends.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    this->ends.erase(earliest);
}

std::optional<time_point> upstream_pauses::end_of(const upstream_id& id, time_point now) const
{
    const auto found = this->ends.find(id);
    const bool is_paused = found != this->ends.end() && found->second > now;
    return is_paused ? std::optional(found->second) : std::nullopt;
}

bool upstream_pauses::is_paused(const upstream_id& id, time_point now) const
{
    return this->end_of(id, now).has_value();
}

std::size_t upstream_pauses::paused_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->ends.begin(), this->ends.end(), [now](const auto& item) { return item.second > now; }));
}

void upstream_pauses::remove_expired(time_point now)
{
    std::erase_if(this->ends, [now](const auto& item) { return item.second <= now; });
}

} // namespace sailtiller
