// SPDX-License-Identifier: Apache-2.0
#include <fleet/ownership.h>
#include <fleet/renewalschedule.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// A record is renewed when this fraction of its retention has passed, which leaves two thirds for an outage
/// of the log and for hosts that are down.
constexpr std::int64_t renewal_divisor = 3;

} // namespace

renewal_schedule::renewal_schedule(renewal_settings settings, host_id self)
    : settings(settings)
    , self(std::move(self))
{
}

void renewal_schedule::note_seen(const std::string& record, time_point now)
{
    this->last_seen[record] = now;
}

void renewal_schedule::note_needed(const std::string& record, time_point now)
{
    // Its age is unknown, so it counts as due; the stagger between ranks keeps the others from appending it
    // too.
    this->last_seen.try_emplace(record, now - this->settings.retention / renewal_divisor);
}

void renewal_schedule::forget(const std::string& record)
{
    this->last_seen.erase(record);
}

std::vector<std::string> renewal_schedule::due(
    time_point now, const std::vector<host_id>& live_hosts, std::size_t most) const
{
    std::vector<std::string> records;
    for (const auto& [record, seen] : this->last_seen) {
        const duration overdue = now - seen - this->settings.retention / renewal_divisor;
        if (overdue < duration::zero()) {
            continue;
        }
        const std::vector<host_id> ranked = rank_owners(record, live_hosts);
        const auto place = std::find(ranked.begin(), ranked.end(), this->self);
        const auto rank = place - ranked.begin();
        if (overdue >= this->settings.stagger * rank) {
            records.push_back(record);
        }
        if (records.size() == most) {
            break;
        }
    }
    return records;
}

} // namespace sailtiller
