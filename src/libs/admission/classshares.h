// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/loadsummary.h>

namespace sailtiller {

/// Part of the mean share that each class keeps: no kind of request may be served less than a quarter as
/// often as the mean, with a margin for random deviations.
inline constexpr double kept_part = 0.35;

/// Returns the share of each class's requests to admit, if `admitted_share` of all is to be admitted. Each
/// class keeps a part of the mean share; the rest goes to the classes in their order.
std::map<request_class, double> divide_admissions(
    const std::map<request_class, double>& arrivals, double admitted_share);

/// Returns the share of a class to admit for a request of `work` tokens where the mean is `mean_work`: small
/// requests leave room for others. Without an overload the share is 1 for all; the shares of the largest and
/// the smallest requests differ by two at most.
double weigh_share(double share, double work, double mean_work);

} // namespace sailtiller
