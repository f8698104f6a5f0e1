// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace sailtiller {

/// How long the log keeps records, and how the hosts share the work of carrying them forward.
struct renewal_settings
{
    duration retention = std::chrono::hours(24); ///< the platform's; a record is gone after this time
    duration stagger = std::chrono::seconds(20); ///< a host waits this much longer for each rank before it
};

/// Decides when this host appends again a record that must not expire.
///
/// Every host knows when it last saw each record in the log. At a third of the retention the record's
/// first-ranked host (rendezvous hashing over the live hosts) carries it forward; each later rank waits one
/// stagger more and stands down when it sees the record again. So few appends are made however many hosts
/// there are, and none is lost when the first ranks are gone or paused.
class renewal_schedule
{
public:
    renewal_schedule(renewal_settings settings, host_id self);

    /// The record stands in the log, newly appended or appended again.
    void note_seen(const std::string& record, time_point now);
    /// The record is needed, and this host has not seen it in the log (it came from a peer).
    void note_needed(const std::string& record, time_point now);
    /// The record is needed no more.
    void forget(const std::string& record);
    /// The records that this host is to append now, at most `most` of them.
    [[nodiscard]] std::vector<std::string> due(
        time_point now, const std::vector<host_id>& live_hosts, std::size_t most) const;
    [[nodiscard]] std::size_t size() const { return this->last_seen.size(); }

private:
    renewal_settings settings;
    host_id self;
    std::map<std::string, time_point> last_seen;
};

} // namespace sailtiller
