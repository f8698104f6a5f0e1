// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace sailtiller {

/// Bounds the repeated attempts of a host to a share of its first attempts, so that a failing pool is not
/// buried under retries. Each first attempt earns `ratio` of a retry, up to a small reserve.
class retry_budget
{
public:
    explicit retry_budget(double ratio);

    void set_ratio(double ratio) { this->ratio = ratio; }
    void note_first_attempt();
    /// Takes one retry if there is one left.
    [[nodiscard]] bool take_retry();

private:
    double ratio;
    double balance;
};

} // namespace sailtiller
