// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sailtiller {

/// The limit that an upstream's answer named for requests of all hosts together.
struct limit_statement
{
    upstream_id upstream;
    std::optional<double> requests_per_second; ///< nothing: no limit
    duration age{}; ///< since the answer came
};

/// Bounds of the records.
struct upstream_limits_settings
{
    /// Maximum number of upstreams; a site is designed for at most 3,000 engines.
    std::size_t most_records = 4096;
    /// Retention of the end of a limit, which overrides older statements that may still arrive.
    duration ended_retention = std::chrono::seconds(60);
    /// Statements in one report, the latest changes; 1.5 kB.
    std::size_t max_per_report = 32;
};

/// The limits that upstreams name, from their answers to this host and from the reports of others. Of two
/// statements on one upstream the younger one is used.
class upstream_limits
{
public:
    /// Called when a limit is first named, changes or ends.
    using change_handler = std::function<void(const limit_statement&)>;

    explicit upstream_limits(upstream_limits_settings settings = {}, change_handler on_change = nullptr)
        : settings(settings)
        , on_change(std::move(on_change))
    {
    }

    /// True if no upstream is known to name a limit.
    [[nodiscard]] bool is_empty() const { return this->limited == 0; }
    [[nodiscard]] std::size_t limited_count() const { return this->limited; }
    [[nodiscard]] std::size_t record_count() const { return this->records.size(); }
    /// Requests a second that the upstream takes from all hosts; nothing if it names no limit.
    [[nodiscard]] std::optional<double> limit_of(const upstream_id& id) const;
    /// Returns the latest statement with its age; without one, no limit with the maximum age.
    [[nodiscard]] limit_statement statement_of(const upstream_id& id, time_point now) const;
    /// Merges a statement from the upstream's answer or from another host.
    void take(const limit_statement& statement, time_point now);
    /// Returns the statements for the next report.
    [[nodiscard]] std::vector<limit_statement> list_updates(time_point now) const;
    /// Removes unknown upstreams, and limits that ended longer ago than the retention.
    void forget(const std::function<bool(const upstream_id&)>& is_known, time_point now);

private:
    struct record
    {
        std::optional<double> requests_per_second;
        time_point stated{};
        time_point changed{};
    };

    upstream_limits_settings settings;
    change_handler on_change;
    std::map<upstream_id, record> records;
    std::size_t limited = 0; ///< records with a limit
};

} // namespace sailtiller
