// SPDX-License-Identifier: Apache-2.0
#include <admission/classshares.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

constexpr double min_work_factor = 2.0 / 3;
constexpr double max_work_factor = 4.0 / 3;

} // namespace

std::map<request_class, double> divide_admissions(
    const std::map<request_class, double>& arrivals, double admitted_share)
{
    double demand = 0;
    for (const auto& [kind, per_second] : arrivals) {
        demand += per_second;
    }
    const double kept = std::clamp(admitted_share, 0.0, 1.0) * kept_part;
    double left = demand * (std::clamp(admitted_share, 0.0, 1.0) - kept);
    std::map<request_class, double> shares;
    for (const auto& [kind, per_second] : arrivals) {
        const double more = per_second <= 0 ? 1 - kept : std::min(1 - kept, left / per_second);
        left -= more * per_second;
        shares[kind] = kept + more;
    }
    return shares;
}

double weigh_share(double share, double work, double mean_work)
{
    if (mean_work <= 0 || share >= 1) {
        return share;
    }
    const double factor = std::clamp(2 * mean_work / (mean_work + work), min_work_factor, max_work_factor);
    return std::clamp(std::pow(share, 1 / factor), share * min_work_factor,
        std::min(1.0, share * max_work_factor));
}

} // namespace sailtiller
