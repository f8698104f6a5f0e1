// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <compare>
#include <cstddef>
#include <map>
#include <utility>

namespace sailtiller {

/// Requests that admission treats alike; a lesser class is served first.
struct request_class
{
    int priority = 0; ///< 0 is the highest; an account's goes before its route's, and engines are told this
    int route_priority = 0; ///< decides between requests of one priority
    bool is_first_try = true; ///< false: the caller was refused before and gives up when refused again

    auto operator<=>(const request_class&) const = default;
    /// Returns whether requests of this class go before those of the other, whoever has returned.
    [[nodiscard]] bool is_more_urgent_than(const request_class& other) const
    {
        return std::pair(this->priority, this->route_priority)
            < std::pair(other.priority, other.route_priority);
    }
};

/// Classes of one service that a report may hold. A few are usual; the bound is for malformed reports.
inline constexpr std::size_t most_request_classes = 64;

/// Load of a service as one host sees it, or several hosts together.
struct load_summary
{
    std::map<request_class, double> arrivals; ///< callers' requests per second
    double first_events = 0; ///< per second
    double slow_first_events = 0; ///< those of them that took more than a part of the objective
    double waiting = 0; ///< requests that were sent and have no event yet
    double slow_waiting = 0; ///< those of them that have waited for longer than that part

    /// Adds `factor` times the load that others see.
    void add(const load_summary& other, double factor = 1);
    /// Returns whether nothing was seen.
    [[nodiscard]] bool is_empty() const;
    /// Returns the requests per second of all classes.
    [[nodiscard]] double demand() const;
    /// Returns the time in which the service starts what waits now (Little's law); it leads the delays that
    /// are seen.
    [[nodiscard]] duration predicted_delay() const;
    /// Returns the share of slow ones among the recent first events and the requests that wait for theirs. It
    /// is small if only some engines are slow or dead.
    [[nodiscard]] double slow_share() const;
};

} // namespace sailtiller
