// SPDX-License-Identifier: Apache-2.0
#include <admission/classshares.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// Parts of the mean share that the lowest and the highest class keep: no kind of request may be served less
/// than a quarter as often as the mean, and a higher kind not less often than a lower one.
constexpr double min_kept_part = 0.36;
constexpr double max_kept_part = 0.7;
constexpr double min_work_factor = 2.0 / 3;
constexpr double max_work_factor = 4.0 / 3;

} // namespace

std::map<request_class, class_share> divide_admissions(
    const std::map<request_class, double>& arrivals, double admitted_share)
{
    const double mean = std::clamp(admitted_share, 0.0, 1.0);
    const double step =
        (max_kept_part - min_kept_part) / static_cast<double>(std::max<std::size_t>(arrivals.size(), 2) - 1);
    std::map<request_class, class_share> shares;
    double left = 0; // requests per second that may be admitted and that no class keeps
    double part = max_kept_part;
    for (const auto& [kind, per_second] : arrivals) {
        shares[kind].kept = mean * part;
        left += per_second * mean * (1 - part);
        part -= step;
    }
    for (const auto& [kind, per_second] : arrivals) {
        class_share& share = shares[kind];
        const double more = per_second <= 0 ? 1 - share.kept : std::min(1 - share.kept, left / per_second);
        left -= more * per_second;
        share.admitted = share.kept + more;
    }
    return shares;
}

double weigh_share(double share, double work, double mean_work)
{
    if (mean_work <= 0 || share >= 1) {
        return share;
    }
    const double factor = std::clamp(2 * mean_work / (mean_work + work), min_work_factor, max_work_factor);
    return std::clamp(
        std::pow(share, 1 / factor), share * min_work_factor, std::min(1.0, share * max_work_factor));
}

} // namespace sailtiller
