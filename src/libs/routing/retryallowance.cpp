// SPDX-License-Identifier: Apache-2.0
#include <routing/retryallowance.h>

namespace sailtiller {

namespace {

/// Margin for hosts that temporarily count a different number of live hosts, and for overlapping windows.
constexpr double safety_factor = 0.8;

void forget_before(std::deque<time_point>& moments, time_point limit)
{
    while (!moments.empty() && moments.front() <= limit) {
        moments.pop_front();
    }
}

} // namespace

retry_allowance::recent_sends& retry_allowance::recent(const service_id& service, time_point now)
{
    recent_sends& sends = this->services[service];
    forget_before(sends.requests, now - this->settings.window);
    forget_before(sends.retries, now - this->settings.window);
    return sends;
}

void retry_allowance::note_request(const service_id& service, time_point now)
{
    this->recent(service, now).requests.push_back(now);
}

double retry_allowance::left(const service_id& service, time_point now)
{
    const recent_sends& sends = this->recent(service, now);
    const double earned = this->settings.ratio * static_cast<double>(sends.requests.size());
    const bool is_new = this->started && now - *this->started < this->settings.window;
    const double slack = is_new ? 0 : this->settings.slack / static_cast<double>(this->sharing_hosts);
    return safety_factor * (earned + slack) - static_cast<double>(sends.retries.size());
}

bool retry_allowance::take(const service_id& service, time_point now)
{
    if (this->left(service, now) < 1) {
        return false;
    }
    this->recent(service, now).retries.push_back(now);
    return true;
}

} // namespace sailtiller
