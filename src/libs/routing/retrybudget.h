// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

namespace sailtiller {

/// Limits the retries of a host, so that they do not overload a failing pool. Each first attempt earns
/// `ratio` of a retry. The balance is capped by a reserve that grows with the requests in flight, so that all
/// streams of one dead upstream can be retried at once, but not those of a failing pool.
class retry_budget
{
public:
    explicit retry_budget(double ratio);

    void set_ratio(double new_ratio) { this->ratio = new_ratio; }
    void note_first_attempt();
    /// Notes the end of a request passed to `note_first_attempt`.
    void note_finished();
    /// Consumes one retry if one is available, and returns whether it did.
    [[nodiscard]] bool take_retry();

private:
    [[nodiscard]] double max_balance() const;

    double ratio;
    double balance;
    std::size_t in_flight = 0;
};

} // namespace sailtiller
