// SPDX-License-Identifier: Apache-2.0
#include <routing/retryallowance.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Margin for hosts that temporarily count a different number of live hosts, and for overlapping windows.
constexpr double safety_factor = 0.8;

/// Share of the allowance that is kept for requests that have run: during an overload, engines refuse as many
/// requests as there are, and a stream that is cut midway can't be refused.
constexpr double kept_share = 0.5;
/// Retries of which nothing is kept. With so few, a host has hardly any streams that could need them, and a
/// single refusal needs one.
constexpr double never_kept = 2;

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

double retry_allowance::total(const recent_sends& sends, time_point now) const
{
    const double earned = this->settings.ratio * static_cast<double>(sends.requests.size());
    const bool is_new = this->started && now - *this->started < this->settings.window;
    const double slack = is_new ? 0 : this->settings.slack / static_cast<double>(this->sharing_hosts);
    return safety_factor * (earned + slack);
}

double retry_allowance::left(const service_id& service, time_point now)
{
    const recent_sends& sends = this->recent(service, now);
    return this->total(sends, now) - static_cast<double>(sends.retries.size());
}

double retry_allowance::left_for_refused(const service_id& service, time_point now)
{
    const recent_sends& sends = this->recent(service, now);
    const double all = this->total(sends, now);
    const double kept = kept_share * std::max(0.0, all - never_kept);
    return all - kept - static_cast<double>(sends.retries.size());
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
