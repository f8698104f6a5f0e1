// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <map>
#include <optional>
#include <string>

namespace sailtiller {

/// Reason why a stream can't be sent.
enum class search_obstacle {
    configuration, ///< this host can't confirm that its bundle is the newest
    path, ///< some layer has no holder
    room, ///< the engines or the pipes between halls are full
    upstream_limit, ///< the upstreams' limits on requests per second are used up
    retry_allowance, ///< the fleet's retry allowance is used up
    refusal, ///< pause after a refusal
    connection, ///< no connection to an upstream, or pause after one that failed
    trial ///< a trial of a request suspected of crashing its upstreams is requested
};

/// Total time for which each obstacle kept a stream from being sent.
class search_obstacles
{
public:
    /// Starts timing this obstacle, in place of the current one.
    void note(search_obstacle obstacle, time_point now);
    [[nodiscard]] bool is_present(search_obstacle obstacle) const
    {
        return this->present && this->present->what == obstacle;
    }
    /// Returns for how long this obstacle has been the current one; zero if it isn't.
    [[nodiscard]] duration time_present(search_obstacle obstacle, time_point now) const
    {
        return this->is_present(obstacle) ? now - this->present->since : duration::zero();
    }
    /// Ends the current obstacle.
    void end(time_point now);
    /// Returns the times for the log, such as "retry allowance 812 ms, configuration 25 ms", or "nothing".
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
