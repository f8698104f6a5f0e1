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
    /// Writes the record if the topic still ends at `end`; reports whether it was written.
    std::function<void(const keyed_record&, log_offset end, const std::function<void(bool)>& on_done,
        const std::function<void(const error&)>& on_failure)>
        put_at;
    /// Removes a key; after a failure, the record stays until it is overwritten.
    std::function<void(const std::string& key)> drop;
    /// Returns false if the last read of the store by this host failed.
    std::function<bool()> is_store_reached;
    /// Called when a trial is granted or denied.
    std::function<void(event_type, const request_content&, const std::string& detail)> on_event;
};

/// Limits trials of suspect requests over the whole fleet, counted by records in the platform's store: hosts
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
    /// Requests one trial. Always answers asynchronously.
    void claim(const request_content& content, const answer_handler& on_answer);
    /// Removes the record of a request that was cleared or forgotten.
    void drop(const request_content& content);

private:
    void read_claim(const request_content& content, unsigned reads_left, const answer_handler& on_answer);
    void write_claim(
        const request_content& content, log_offset end, unsigned reads_left, const answer_handler& on_answer);
    void take_records(const std::vector<keyed_record>& records);
    void grant_trial(
        const request_content& content, const trial_record& record, const answer_handler& on_answer);
    void deny_trial(
        const request_content& content, const std::string& reason, const answer_handler& on_answer) const;

    crash_suspects& suspects;
    trial_claims_hooks hooks;
};

} // namespace sailtiller
