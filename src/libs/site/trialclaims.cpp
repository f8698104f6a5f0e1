// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <site/trialclaims.h>

namespace sailtiller {

namespace {

/// Interval of retries after a failed initial read.
constexpr duration initial_read_retry_interval = std::chrono::milliseconds(700);
/// Maximum number of reads for one claim, as another host may write between the read and the write.
constexpr unsigned max_claim_reads = 3;

std::string write_record(const trial_record& record)
{
    return json({{"trials", record.trials}, {"clearances", record.clearances}}).dump();
}

trial_record read_record(const std::string& value)
{
    const json item = parse_json(value);
    return {item.at("trials").get<unsigned>(), item.at("clearances").get<unsigned>()};
}

} // namespace

trial_claims::trial_claims(crash_suspects& suspects, trial_claims_hooks hooks)
    : suspects(suspects)
    , hooks(std::move(hooks))
{
}

void trial_claims::start()
{
    const auto try_later = [this] {
        this->hooks.timers.schedule_after(initial_read_retry_interval, [this] { this->start(); });
    };
    if (!this->hooks.is_store_reached()) {
        try_later(); // other reads of this host detect that the store is back
        return;
    }
    this->hooks.read_newest([this](const newest_page& page) { this->take_records(page.records); },
        [try_later](const error&) { try_later(); });
}

void trial_claims::take_records(const std::vector<keyed_record>& records)
{
    const time_point now = this->hooks.timers.now();
    for (const keyed_record& record : records) {
        if (!record.value) {
            continue;
        }
        const suspect_id suspect = read_suspect_key(record.key);
        try {
            this->suspects.note_trials(suspect, read_record(*record.value), now);
        } catch (const json::exception& malformed) {
            this->hooks.on_event(event_type::malformed_record, suspect, malformed.what());
        }
    }
}

void trial_claims::claim(const suspect_list& tried, const answer_handler& on_answer)
{
    if (this->hooks.is_store_reached()) {
        this->read_claim(tried, max_claim_reads, on_answer);
        return;
    }
    this->hooks.timers.schedule_after(duration::zero(),
        [this, tried, on_answer] { this->deny_trial(tried, "the store is unavailable", on_answer); });
}

void trial_claims::read_claim(const suspect_list& tried, unsigned reads_left, const answer_handler& on_answer)
{
    this->hooks.read_newest(
        [this, tried, reads_left, on_answer](const newest_page& page) {
            this->take_records(page.records);
            const send_assessment judged = this->suspects.assess(tried, this->hooks.timers.now());
            if (judged.decision != send_decision::trial) {
                this->deny_trial(tried, "another host was just granted a trial", on_answer);
                return;
            }
            this->write_claim(tried, page.end, reads_left - 1, on_answer);
        },
        [this, tried, on_answer](
            const error& failure) { this->deny_trial(tried, failure.what(), on_answer); });
}

void trial_claims::write_claim(
    const suspect_list& tried, log_offset end, unsigned reads_left, const answer_handler& on_answer)
{
    std::vector<trial_record> trials;
    std::vector<keyed_record> records;
    for (const suspect_id& suspect : tried) {
        trial_record& record = trials.emplace_back(this->suspects.trials_of(suspect));
        ++record.trials;
        records.push_back({write_suspect_key(suspect), write_record(record)});
    }
    this->hooks.put_at(
        records, end,
        [this, tried, trials, reads_left, on_answer](bool was_written) {
            if (was_written) {
                this->grant_trial(tried, trials, on_answer);
            } else if (reads_left > 0) {
                this->read_claim(tried, reads_left, on_answer);
            } else {
                this->deny_trial(tried, "other hosts claim trials at the same time", on_answer);
            }
        },
        [this, tried, on_answer](const error& failure) {
            // The records may have been written; a lost trial costs less than one too many.
            this->deny_trial(tried, failure.what(), on_answer);
        });
}

void trial_claims::grant_trial(
    const suspect_list& tried, const std::vector<trial_record>& records, const answer_handler& on_answer)
{
    const time_point now = this->hooks.timers.now();
    for (std::size_t number = 0; number < tried.size(); ++number) {
        this->suspects.note_granted_trial(tried[number], records[number], now);
        this->hooks.on_event(event_type::trial_given, tried[number],
            std::to_string(records[number].trials) + " of " + std::to_string(max_trials));
    }
    on_answer(true);
}

void trial_claims::deny_trial(
    const suspect_list& tried, const std::string& reason, const answer_handler& on_answer) const
{
    for (const suspect_id& suspect : tried) {
        this->hooks.on_event(event_type::trial_withheld, suspect, reason);
    }
    on_answer(false);
}

void trial_claims::drop(const suspect_id& suspect)
{
    this->hooks.drop(write_suspect_key(suspect));
}

} // namespace sailtiller
