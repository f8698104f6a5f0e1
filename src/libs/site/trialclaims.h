// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <fleet/crashsuspects.h>
#include <store/storetypes.h>

namespace sailtiller {

/// How claims reach the store, and what they tell.
struct trial_claims_hooks
{
    timer_hooks timers;
    std::function<void(const std::function<void(const newest_page&)>& on_all,
        const std::function<void(const error&)>& on_failure)>
        read_newest;
    /// Writes the record if the topic still ends there; tells whether it did.
    std::function<void(const keyed_record&, log_offset end, const std::function<void(bool)>& on_done,
        const std::function<void(const error&)>& on_failure)>
        put_at;
    /// Drops a key; a failure leaves a record that the next one replaces.
    std::function<void(const std::string& key)> drop;
    /// False while the store has failed the last read of this host.
    std::function<bool()> is_store_reached;
    /// A trial was given or withheld.
    std::function<void(event_type, const request_content&, const std::string& detail)> on_event;
};

/// The fleet's trials of suspect requests, counted by records in the platform's store: hosts share nothing
/// else that could count to three over all of them, and their memory is gone when they are all restarted at
/// once. A claim reads all records and writes its own on the condition that none has come since.
class trial_claims
{
public:
    using answer_handler = std::function<void(bool is_given)>;

    /// Both outlive the claims.
    trial_claims(crash_suspects& suspects, trial_claims_hooks hooks);

    /// Reads what the store knows, until it answers once: a host that has just started, alone or with all the
    /// others, must not try what the fleet has tried already.
    void start();
    /// Asks for one trial. Answers later, even if the answer is known at once.
    void claim(const request_content& content, const answer_handler& on_answer);
    /// The request proved sound, or is forgotten: its record in the store ends.
    void drop(const request_content& content);

private:
    void read_claim(const request_content& content, unsigned reads_left, const answer_handler& on_answer);
    void write_claim(
        const request_content& content, log_offset end, unsigned reads_left, const answer_handler& on_answer);
    void take_records(const std::vector<keyed_record>& records);
    void give(const request_content& content, const trial_record& record, const answer_handler& on_answer);
    void deny_trial(
        const request_content& content, const std::string& reason, const answer_handler& on_answer) const;

    crash_suspects& suspects;
    trial_claims_hooks hooks;
};

} // namespace sailtiller
