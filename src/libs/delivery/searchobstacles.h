// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <map>
#include <optional>
#include <string>

namespace sailtiller {

/// What keeps a stream from being sent.
enum class search_obstacle {
    configuration, ///< this host can't tell whether its bundle is the newest
    path, ///< no engines hold every layer
    room, ///< the engines or the pipes between halls are full
    upstream_limit, ///< what upstreams take a second is used up
    retry_allowance, ///< the fleet's retries are used up
    refusal, ///< the pause after a refusal
    trial ///< leave is asked for a request that is suspect of ending its upstreams
};

/// How long a stream was kept from being sent, by what kept it, over its whole life.
class search_obstacles
{
public:
    /// From now on, this is in the way.
    void note(search_obstacle obstacle, time_point now);
    /// Nothing is in the way any more.
    void end(time_point now);
    /// For the log: "retry allowance 812 ms, configuration 25 ms", or "nothing".
    [[nodiscard]] std::string describe(time_point now) const;

private:
    struct present_obstacle
    {
        search_obstacle what = search_obstacle::path;
        time_point since{};
    };

    std::optional<present_obstacle> present;
    std::map<search_obstacle, duration> past;
};

} // namespace sailtiller
