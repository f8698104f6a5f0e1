// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sailtiller {

/// What one answer of an upstream said of the requests that it takes from all hosts together.
struct limit_statement
{
    upstream_id upstream;
    std::optional<double> requests_per_second; ///< nothing: it names no limit
    duration age{}; ///< since the answer came
};

/// Bounds of what a host remembers.
struct upstream_limits_settings
{
    /// At most so many upstreams; 3,000 engines are the most that a site is designed for.
    std::size_t most_records = 4096;
    /// That an upstream names no limit any more is remembered for so long, as it outweighs what others have
    /// yet to hear.
    duration ended_retention = std::chrono::seconds(60);
    /// Statements in one report, the latest changes; 1.5 kB.
    std::size_t max_per_report = 32;
};

/// The limits that upstreams name, as far as this host knows by itself and from the others. Of two statements
/// on one upstream the younger one counts.
class upstream_limits
{
public:
    /// Told when a limit is named, changes or ends.
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
    /// What is known of it, with its age; nothing said counts as no limit, as old as can be.
    [[nodiscard]] limit_statement statement_of(const upstream_id& id, time_point now) const;
    /// An answer of the upstream, or another host, said this.
    void take(const limit_statement& statement, time_point now);
    /// What the next report tells.
    [[nodiscard]] std::vector<limit_statement> list_updates(time_point now) const;
    /// Forgets upstreams that are gone, and limits that ended long ago.
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
