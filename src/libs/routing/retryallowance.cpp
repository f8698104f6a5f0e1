// SPDX-License-Identifier: Apache-2.0
#include <routing/retryallowance.h>

namespace sailtiller {

namespace {

/// Other hosts may believe in another number of live hosts for a moment, and windows overlap.
constexpr double safe_share = 0.8;

void forget_before(std::deque<time_point>& moments, time_point limit)
{
    while (!moments.empty() && moments.front() <= limit) {
        moments.pop_front();
    }
}

} // namespace

void retry_allowance::forget_old(time_point now)
{
    forget_before(this->requests, now - this->settings.window);
    forget_before(this->repeats, now - this->settings.window);
}

void retry_allowance::note_request(time_point now)
{
    this->forget_old(now);
    this->requests.push_back(now);
}

double retry_allowance::left(time_point now)
{
    this->forget_old(now);
    const double earned = this->settings.ratio * static_cast<double>(this->requests.size());
    const double slack = this->settings.slack / static_cast<double>(this->live_hosts);
    return safe_share * (earned + slack) - static_cast<double>(this->repeats.size());
}

bool retry_allowance::take(time_point now)
{
    if (this->left(now) < 1) {
        return false;
    }
    this->repeats.push_back(now);
    return true;
}

} // namespace sailtiller
