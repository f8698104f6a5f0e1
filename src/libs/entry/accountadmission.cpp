// SPDX-License-Identifier: Apache-2.0
#include <entry/accountadmission.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

/// A burst of so many seconds' worth of requests may start at once.
constexpr double burst_seconds = 1.0;
/// When streams are at their limit, one ends soon; a caller may ask again after this.
constexpr duration streams_retry = std::chrono::seconds(1);

} // namespace

bool account_admission::take_request(usage& used, double requests_per_second, time_point now) const
{
    const double rate = requests_per_second / static_cast<double>(this->live_hosts);
    const double burst = std::max(1.0, rate * burst_seconds);
    const double elapsed = std::chrono::duration<double>(now - used.refilled_at).count();
    used.tokens = used.is_new ? burst : std::min(burst, used.tokens + elapsed * rate);
    used.refilled_at = now;
    used.is_new = false;
    if (used.tokens < 1.0) {
        return false;
    }
    used.tokens -= 1.0;
    return true;
}

std::optional<admission_refusal> account_admission::admit(const client_account& account, time_point now)
{
    usage& used = this->accounts[account.name];
    const account_limits& limits = account.limits;
    if (limits.streams != 0) {
        const auto share = std::max<std::size_t>(1, limits.streams / this->live_hosts);
        if (used.streams >= share) {
            return admission_refusal{"too_many_streams", streams_retry};
        }
    }
    const bool has_rate = limits.requests_per_second > 0;
    if (has_rate && !this->take_request(used, limits.requests_per_second, now)) {
        const double rate = limits.requests_per_second / static_cast<double>(this->live_hosts);
        const std::chrono::duration<double> wait((1.0 - used.tokens) / rate);
        return admission_refusal{"too_many_requests", std::chrono::ceil<duration>(wait)};
    }
    ++used.streams;
    return std::nullopt;
}

void account_admission::finish(const client_account_id& account)
{
    const auto found = this->accounts.find(account);
    if (found != this->accounts.end() && found->second.streams > 0) {
        --found->second.streams;
    }
}

} // namespace sailtiller
