// SPDX-License-Identifier: Apache-2.0
#include <routing/retrybudget.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Retries that a quiet host may make at once, so that a lone failure is always retried.
constexpr double reserve = 10.0;

} // namespace

retry_budget::retry_budget(double ratio)
    : ratio(ratio)
    , balance(reserve)
{
}

void retry_budget::note_first_attempt()
{
    this->balance = std::min(reserve, this->balance + this->ratio);
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
