// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <health/runningestimate.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sailtiller {

/// How long the requests of each route last on this host, learned from those that ran to a good end.
class route_durations
{
public:
    void note(const std::string& route, duration time);
    /// The time that few requests of the route exceed; nothing before its first sample.
    [[nodiscard]] std::optional<duration> usual_longest(const std::string& route) const;
    /// Forgets the routes that are no longer in use.
    void forget(const std::function<bool(const std::string&)>& is_known);

private:
    std::map<std::string, running_estimate> estimates; ///< in microseconds, by the route's name
};

} // namespace sailtiller
