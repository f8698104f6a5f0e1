// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

namespace sailtiller {

/// Bounds the repeated attempts of a host, so that a failing pool is not buried under retries. Each first
/// attempt earns `ratio` of a retry. What is earned is kept up to a reserve that grows with the requests in
/// flight, so that all streams of one upstream that dies can move at once, and those of a failing pool can't.
class retry_budget
{
public:
    explicit retry_budget(double ratio);

    void set_ratio(double new_ratio) { this->ratio = new_ratio; }
    void note_first_attempt();
    /// A request that was noted has ended.
    void note_finished();
    /// Takes one retry if there is one left.
    [[nodiscard]] bool take_retry();

private:
    [[nodiscard]] double max_balance() const;

    double ratio;
    double balance;
    std::size_t in_flight = 0;
};

} // namespace sailtiller
