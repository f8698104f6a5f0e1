// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <standins/pathengine.h>

#include <functional>
#include <random>

namespace sailtiller::tests {

/// A caller's request as it was seen from outside.
struct seen_request
{
    std::string id;
    std::size_t host = 0; ///< the place of the host that it was sent to
    time_point sent{};
    std::optional<time_point> answered;
    int status = 0;
};

/// Times in which upstreams refuse and ask for pauses, and one in which an engine says that it leaves while
/// its entry says nothing of it; drawn from a seed. What hosts sent there is checked against the users'
/// bounds.
class notice_series
{
public:
    /// True if the host was started, ended or suspended within that time.
    using excuse = std::function<bool(std::size_t host, time_point begin, time_point end)>;

    notice_series(standins::engine_world& world, unsigned seed)
        : world(world)
        , random(std::mt19937::result_type{seed} * 7919) // apart from the series of other faults
    {
    }

    /// Draws the times, by the names of an engine each for a pause and for leaving, and of a service.
    void draw(const std::string& paused_engine, const std::string& leaving_engine,
        const std::string& paused_service, time_point now);
    /// The stand-ins do what the series says for this moment.
    void apply(time_point now);
    /// All pauses and the leaving end. Returns the name of the engine that has said it leaves.
    std::string end();
    void check(
        const std::vector<seen_request>& requests, const excuse& is_excused, const std::string& faults) const;

private:
    struct refusing_time
    {
        std::string upstream;
        duration pause{};
        time_point begin{};
        time_point end{};
    };

    [[nodiscard]] std::chrono::milliseconds draw_time(unsigned from, unsigned span);
    refusing_time draw_refusing(const std::string& upstream, time_point now);
    void check_pauses(const std::map<std::string, const seen_request*>& by_id, const excuse& is_excused,
        const std::string& faults) const;
    void check_leaving(const std::map<std::string, const seen_request*>& by_id, const excuse& is_excused,
        const std::string& faults) const;

    standins::engine_world& world;
    std::mt19937 random;
    std::vector<refusing_time> refusing;
    std::string leaving;
    time_point leaves_at{};
    bool has_ended = false;
};

} // namespace sailtiller::tests
