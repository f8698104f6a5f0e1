// SPDX-License-Identifier: Apache-2.0
#include <health/reporteddeaths.h>

#include <algorithm>
#include <vector>

namespace sailtiller {

namespace {

/// With fewer hosts, only one other host may be left to report.
constexpr std::size_t min_hosts_for_two_reports = 4;

} // namespace

std::size_t reported_deaths::reports_needed() const
{
    return this->live_hosts >= min_hosts_for_two_reports ? 2 : 1;
}

std::optional<time_point> reported_deaths::note(
    const upstream_id& id, const host_id& reporter, time_point until, time_point now)
{
    std::map<host_id, time_point>& tellers = this->reports[id];
    std::erase_if(tellers, [now](const auto& item) { return item.second <= now; });
    tellers[reporter] = until;
    const std::size_t needed = this->reports_needed();
    if (tellers.size() < needed) {
        return std::nullopt;
    }
    std::vector<time_point> ends;
    ends.reserve(tellers.size());
    for (const auto& [host, end] : tellers) {
        ends.push_back(end);
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[needed - 1];
}

void reported_deaths::forget(const std::function<bool(const upstream_id&)>& is_known)
{
    std::erase_if(this->reports, [&is_known](const auto& item) { return !is_known(item.first); });
}

} // namespace sailtiller
