// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <fleet/crashsuspects.h>
#include <store/storetypes.h>

namespace sailtiller {

/// Access to the store and callbacks for claims.
struct trial_claims_hooks
{
    timer_hooks timers;
    std::function<void(const std::function<void(const newest_page&)>& on_all,
        const std::function<void(const error&)>& on_failure)>
        read_newest;
    /// Writes the records, all or none, if the topic still ends at `end`; reports whether they were written.
    std::function<void(const std::vector<keyed_record>&, log_offset end,
        const std::function<void(bool)>& on_done, const std::function<void(const error&)>& on_failure)>
        put_at;
    /// Removes a key; after a failure, the record stays until it is overwritten.
    std::function<void(const std::string& key)> drop;
    /// Returns false if the last read of the store by this host failed.
    std::function<bool()> is_store_reached;
    /// Called when a trial is granted or denied.
    std::function<void(event_type, const suspect_id&, const std::string& detail)> on_event;
};

/// Limits trials of suspects over the whole fleet, counted by records in the platform's store: hosts
/// share nothing else that could count to three over all of them, and their memory is lost when all are
/// restarted at once. A claim reads all records and writes its own on condition that no record was added
/// since.
class trial_claims
{
public:
    using answer_handler = std::function<void(bool is_given)>;

    /// Both arguments must outlive this object.
    trial_claims(crash_suspects& suspects, trial_claims_hooks hooks);

    /// Reads all records from the store, repeatedly until a read succeeds: a host that has started, alone or
    /// with all others, must not repeat trials of the fleet.
    void start();
    /// Requests one trial of a request that holds these suspects; it counts for each of them. Always answers
    /// asynchronously.
    void claim(const suspect_list& tried, const answer_handler& on_answer);
    /// Removes the record of a suspect that was cleared or forgotten.
    void drop(const suspect_id& suspect);

private:
    void read_claim(const suspect_list& tried, unsigned reads_left, const answer_handler& on_answer);
    void write_claim(
        const suspect_list& tried, log_offset end, unsigned reads_left, const answer_handler& on_answer);
    void take_records(const std::vector<keyed_record>& records);
    void grant_trial(
        const suspect_list& tried, const std::vector<trial_record>& records, const answer_handler& on_answer);
    void deny_trial(
        const suspect_list& tried, const std::string& reason, const answer_handler& on_answer) const;

    crash_suspects& suspects;
    trial_claims_hooks hooks;
};

} // namespace sailtiller
