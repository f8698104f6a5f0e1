// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sailtiller {

/// The value of one label; the label's name belongs to the metric.
using label_value = std::string;

/// A count that only grows, for each value of one label.
class counter_family
{
public:
    counter_family(std::string name, std::string help, std::string label);

    void add(const label_value& label, std::uint64_t amount = 1);
    [[nodiscard]] std::uint64_t value(const label_value& label) const;
    void write(std::string& out) const;

private:
    std::string name;
    std::string help;
    std::string label;
    std::map<label_value, std::uint64_t> values;
};

/// Distributions of times (Boost.Histogram), for each value of one label, such as a client account.
/// The number of label values is bounded: those beyond it are counted together as "other".
class time_histogram_family
{
public:
    time_histogram_family(std::string name, std::string help, std::string label, std::size_t most_labels);
    ~time_histogram_family();
    time_histogram_family(time_histogram_family&&) noexcept;
    time_histogram_family& operator=(time_histogram_family&&) noexcept;
    time_histogram_family(const time_histogram_family&) = delete;
    time_histogram_family& operator=(const time_histogram_family&) = delete;

    void record(const label_value& label, duration time);
    [[nodiscard]] std::uint64_t count(const label_value& label) const;
    /// The time below which this share of the recorded times lies, to the width of a bucket (about 26 %).
    [[nodiscard]] duration quantile(const label_value& label, double share) const;
    void write(std::string& out) const;
    [[nodiscard]] std::size_t label_count() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// Everything that a host counts and measures, in the text form of Prometheus.
struct host_metrics
{
    host_metrics();

    counter_family requests; ///< by outcome
    counter_family rejected; ///< by reason, before a request was run
    counter_family attempts; ///< by kind: first, retry, move
    counter_family tokens; ///< by model
    counter_family dropped_answers; ///< by reason
    counter_family bundle_events; ///< by kind
    time_histogram_family first_token;
    time_histogram_family between_tokens;
    time_histogram_family total_time;

    [[nodiscard]] std::string write() const;
};

} // namespace sailtiller
