// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sailtiller {

/// Accounts and classes that get a histogram of their own; above the users' 2,800 accounts.
inline constexpr std::size_t most_account_labels = 4096;
inline constexpr std::size_t most_class_labels = 32;

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
    /// Writes every label, or only one.
    void write(std::string& out, const std::optional<label_value>& only) const;
    [[nodiscard]] std::size_t label_count() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// The times of requests by one label.
struct request_times
{
    request_times(const std::string& label, std::size_t most_labels);

    void write(std::string& out, const std::optional<label_value>& only) const;

    time_histogram_family queue; ///< from a request's arrival until it was let in
    time_histogram_family first_token;
    time_histogram_family between_tokens;
    time_histogram_family total;
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
    request_times by_class;
    request_times by_account;

    /// Records a time for a request's class and account.
    void record_queue(const label_value& service_class, const label_value& account, duration time);
    void record_first_token(const label_value& service_class, const label_value& account, duration time);
    void record_between_tokens(const label_value& service_class, const label_value& account, duration time);
    void record_total(const label_value& service_class, const label_value& account, duration time);

    /// Counters and the classes' histograms: a page of a few kilobytes that is read often.
    [[nodiscard]] std::string write() const;
    /// The histograms of accounts; of one account if it is named. The page of all accounts is large.
    [[nodiscard]] std::string write_accounts(const std::optional<label_value>& account) const;
};

} // namespace sailtiller
