// SPDX-License-Identifier: Apache-2.0
#include <routing/retrybudget.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Retries that an idle host may send at once, so that single failures are always retried.
constexpr double min_reserve = 10.0;
/// Reserve per request in flight: an upstream that dies may hold a quarter of a host's streams.
constexpr double reserve_per_request = 0.25;

} // namespace

retry_budget::retry_budget(double ratio)
    : ratio(ratio)
    , balance(min_reserve)
{
}

double retry_budget::max_balance() const
{
    return min_reserve + reserve_per_request * static_cast<double>(this->in_flight);
}

void retry_budget::note_first_attempt()
{
    ++this->in_flight;
    this->balance = std::min(this->max_balance(), this->balance + this->ratio);
}

void retry_budget::note_finished()
{
    this->in_flight -= this->in_flight > 0 ? 1 : 0;
}

bool retry_budget::take_retry()
{
    if (this->balance < 1.0) {
        return false;
    }
    this->balance -= 1.0;
    return true;
}

} // namespace sailtiller
