// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <health/runningestimate.h>

namespace sailtiller {

/// The pause between two events that callers are promised, or, where a route promises none (zero), a quarter
/// of a second: there a reader takes a pause for an end.
[[nodiscard]] duration promised_pause(duration route_pause);

/// What a stream's route and path lead one to expect.
struct stream_expectation
{
    duration reading{}; ///< predicted time to read the prompt through the path, with nothing else to do
    duration token{}; ///< predicted time of one token through the path; zero if the profile tells none
    duration first_objective{}; ///< to the first event; zero if callers are promised none
    duration longest_pause{}; ///< between two events; zero if callers are promised none
};

/// How long a stream may be silent before its silence speaks against its path: learned from the gaps of this
/// host's streams, since how many tokens an event holds, and how busy engines are, is told nowhere. Fixed
/// times that suit one deployment take sound streams of another for broken ones: with 90 ms, engines that
/// give five tokens an event (one each 50 to 110 ms) were probed 52,000 times on a day without any fault.
class silence_model
{
public:
    /// The gaps that are expected on a path, in microseconds, from those seen on others.
    [[nodiscard]] running_estimate expect_gap(const stream_expectation& expected) const;
    /// A stream over such a path had two events in a row with this gap.
    void note_gap(const stream_expectation& expected, duration gap);
    /// Time from the sending to the first event after which its lack speaks against the path.
    [[nodiscard]] duration first_event_limit(const stream_expectation& expected) const;
    /// A stream over such a path had its first event so long after its sending.
    void note_first_event(const stream_expectation& expected, duration wait);
    /// The longest silence that is waited for: half of the pause that callers are promised. The other half
    /// goes to the probe, the change of path and the reading of what the lost part knew. Where events come
    /// nearly as slowly as that (their mean gap in microseconds), half of a usual gap more is waited for, or
    /// each second gap would be a suspect: 3.6 probes a request at 8 tokens an event and 7 hosts
    /// (bench_detection).
    [[nodiscard]] static duration max_silence(const stream_expectation& expected, double mean_gap);

private:
    running_estimate gap_ratio; ///< gap between events against the predicted time of a token
    running_estimate first_excess; ///< first event beyond the predicted reading, in microseconds
};

} // namespace sailtiller
