// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/loadsummary.h>

#include <optional>

namespace sailtiller {

/// Estimates the requests per second that a service can start in time, from the load that all hosts see.
///
/// While first events are late, the rate of first events is what the service can do, and less than that is
/// admitted until the backlog has gone. Otherwise the admitted rate grows, quickly up to what the service did
/// last and slowly beyond it. Rates are stable where a bound on the backlog isn't: the backlog changes faster
/// than hosts hear of each other.
class capacity_estimate
{
public:
    /// Takes the load that all hosts see. `objective` is the strictest time to the first event.
    void update(const load_summary& load, duration objective, time_point now);
    /// Returns the share of the demand that may be admitted; 1 while nothing binds.
    [[nodiscard]] double admitted_share() const;
    /// Returns whether less than an unlimited rate is admitted, during an overload and for some time after
    /// it.
    [[nodiscard]] bool is_binding() const { return this->allowed.has_value(); }
    /// Returns the delay of first events relative to the highest one at which the service is in time; above 1
    /// while the service is overloaded.
    [[nodiscard]] double pressure() const { return this->last_pressure; }

private:
    void tighten(const load_summary& load, double seconds);
    void loosen(double seconds, time_point now);

    std::optional<double> allowed; ///< requests per second of all hosts; empty while nothing binds
    double known_capacity = 0; ///< first events per second during the last overload
    double demand = 0; ///< requests per second
    double last_pressure = 0;
    time_point updated{};
    time_point overloaded_at{}; ///< end of the last overload
};

} // namespace sailtiller
