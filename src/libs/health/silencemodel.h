// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <health/runningestimate.h>

namespace sailtiller {

/// Longest pause between two events that the route promises to callers. Defaults to 250 ms if it promises
/// none (zero), since a reader takes a longer pause for the end.
[[nodiscard]] duration promised_pause(duration route_pause);

/// Expected timing of a stream from its route and path.
struct stream_expectation
{
    duration reading{}; ///< predicted time to process the prompt through the idle path
    duration token{}; ///< predicted time of one token through the path; zero if unknown to the profile
    duration first_objective{}; ///< promised time to the first event; zero if none is promised
    duration longest_pause{}; ///< promised longest pause between two events; zero if none is promised
};

/// Predicts how long a stream may be silent before its path is suspected. The prediction is learned from the
/// gaps of the streams of this host, since neither the number of tokens per event nor the load of the engines
/// is reported. Fixed limits that suit one deployment suspect working streams of another: with 90 ms, engines
/// that send five tokens per event (one event each 50 to 110 ms) were probed 52,000 times on a day without a
/// fault.
class silence_model
{
public:
    /// Expected gaps on a path in microseconds, from the gaps observed on others.
    [[nodiscard]] running_estimate expect_gap(const stream_expectation& expected) const;
    /// Records the gap between two successive events of a stream over such a path.
    void note_gap(const stream_expectation& expected, duration gap);
    /// Time limit for the first event, from the sending of the request, before the path is suspected.
    [[nodiscard]] duration first_event_limit(const stream_expectation& expected) const;
    /// Records the time from the sending of a request to its first event.
    void note_first_event(const stream_expectation& expected, duration wait);
    /// Upper bound of the tolerated silence: half of the pause promised to callers. The other half is left
    /// for the probe, the path change and the prompt processing on the replaced stage. If the mean gap (in
    /// microseconds) is close to that bound, 1.5 mean gaps are tolerated; otherwise every second gap would
    /// raise suspicion (3.6 probes per request with 8 tokens per event and 7 hosts in bench_detection).
    [[nodiscard]] static duration max_silence(const stream_expectation& expected, double mean_gap);

private:
    running_estimate gap_ratio; ///< gap between events relative to the predicted time of a token
    running_estimate
        first_excess; ///< time to the first event minus the predicted prompt processing, in microseconds
};

} // namespace sailtiller
