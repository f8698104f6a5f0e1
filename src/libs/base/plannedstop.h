// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <optional>
#include <string>

namespace sailtiller {

/// Told to callers whom a stopping host doesn't take: other hosts serve them now. Small against latency
/// objectives of half a second, yet more than nothing: a caller who is led here again
/// mustn't spend all of its tries within a few milliseconds.
constexpr duration retry_elsewhere_after = std::chrono::milliseconds(50);

/// The planned stop of a host, as it concerns requests. Until the grace ends the host takes whatever comes,
/// also what it may have to cut off: a stream that is cut off goes on at another host after its last event,
/// while a refusal costs its caller a try, and the next host may be stopping too. After the grace it takes
/// nothing, and nothing is sent to an upstream, at any time, that isn't answered before the end as a rule.
class planned_stop
{
public:
    /// The last answers go out when `answering` has passed.
    void begin(time_point now, duration grace, duration answering);
    [[nodiscard]] bool is_grace_over(time_point now) const;
    /// False if what takes so long from now would be cut off at the end of the stop.
    [[nodiscard]] bool has_time_for(duration needed, time_point now) const;
    /// For the log: how long a request ran that the end of the stop cuts off now, and when it was taken.
    [[nodiscard]] std::string describe_cut(time_point arrived, time_point now) const;

private:
    std::optional<time_point> begun;
    time_point grace_end{};
    time_point answers_end{};
};

} // namespace sailtiller
