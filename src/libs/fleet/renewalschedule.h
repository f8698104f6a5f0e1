// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace sailtiller {

/// Retention of the log, and how the hosts share the renewal of its records.
struct renewal_settings
{
    duration retention = std::chrono::hours(24); ///< of the platform's log; a record expires after this time
    duration stagger = std::chrono::seconds(20); ///< additional delay for each host ranked before this one
};

/// Decides when this host renews a record that must not expire, by appending it again.
///
/// Every host tracks when it last saw each record in the log. At a third of the retention the record's
/// first-ranked host (rendezvous hashing over the live hosts) renews it; each later rank waits one stagger
/// more and does nothing if the record appears again. This keeps the number of appends small whatever the
/// number of hosts, and no record is lost when the first ranks are down or paused.
class renewal_schedule
{
public:
    renewal_schedule(renewal_settings settings, host_id self);

    /// Records that the record was read from the log, newly appended or renewed.
    void note_seen(const std::string& record, time_point now);
    /// Records that the record is needed and came from a peer, not from the log.
    void note_needed(const std::string& record, time_point now);
    /// Removes a record that is no longer needed.
    void forget(const std::string& record);
    /// Returns the records that this host should append now, at most `most`.
    [[nodiscard]] std::vector<std::string> due(
        time_point now, const std::vector<host_id>& live_hosts, std::size_t most) const;
    [[nodiscard]] std::size_t size() const { return this->last_seen.size(); }

private:
    renewal_settings settings;
    host_id self;
    std::map<std::string, time_point> last_seen;
};

} // namespace sailtiller
