// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/loadsummary.h>

namespace sailtiller {

/// Admission of the requests of one class, as shares of these.
struct class_share
{
    double kept = 0; ///< admitted whatever the demand of higher classes
    double admitted = 0; ///< in all
};

/// Divides what is admitted, if `admitted_share` of all requests is. Each class keeps a part of the mean
/// share, the higher ones more; the rest goes to the classes in their order.
std::map<request_class, class_share> divide_admissions(
    const std::map<request_class, double>& arrivals, double admitted_share);

/// Returns the share of a class to admit for a request of `work` tokens where the mean is `mean_work`: small
/// requests leave room for others. Without an overload the share is 1 for all; the shares of the largest and
/// the smallest requests differ by two at most.
double weigh_share(double share, double work, double mean_work);

} // namespace sailtiller
