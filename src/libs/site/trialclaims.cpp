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
    const json item = json::parse(value);
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
        const request_content content(record.key);
        try {
            this->suspects.note_trials(content, read_record(*record.value), now);
        } catch (const json::exception& malformed) {
            this->hooks.on_event(event_type::malformed_record, content, malformed.what());
        }
    }
}

void trial_claims::claim(const request_content& content, const answer_handler& on_answer)
{
    if (this->hooks.is_store_reached()) {
        this->read_claim(content, max_claim_reads, on_answer);
        return;
    }
    this->hooks.timers.schedule_after(duration::zero(),
        [this, content, on_answer] { this->deny_trial(content, "the store is unavailable", on_answer); });
}

void trial_claims::read_claim(
    const request_content& content, unsigned reads_left, const answer_handler& on_answer)
{
    this->hooks.read_newest(
        [this, content, reads_left, on_answer](const newest_page& page) {
            this->take_records(page.records);
            if (this->suspects.assess(content, this->hooks.timers.now()).decision != send_decision::trial) {
                this->deny_trial(content, "another host was just granted a trial", on_answer);
                return;
            }
            this->write_claim(content, page.end, reads_left - 1, on_answer);
        },
        [this, content, on_answer](
            const error& failure) { this->deny_trial(content, failure.what(), on_answer); });
}

void trial_claims::write_claim(
    const request_content& content, log_offset end, unsigned reads_left, const answer_handler& on_answer)
{
    trial_record record = this->suspects.trials_of(content);
    ++record.trials;
    this->hooks.put_at(
        {content.value(), write_record(record)}, end,
        [this, content, record, reads_left, on_answer](bool was_written) {
            if (was_written) {
                this->grant_trial(content, record, on_answer);
            } else if (reads_left > 0) {
                this->read_claim(content, reads_left, on_answer);
            } else {
                this->deny_trial(content, "other hosts claim trials at the same time", on_answer);
            }
        },
        [this, content, on_answer](const error& failure) {
            // The record may have been written; a lost trial costs less than one too many.
            this->deny_trial(content, failure.what(), on_answer);
        });
}

void trial_claims::grant_trial(
    const request_content& content, const trial_record& record, const answer_handler& on_answer)
{
    this->suspects.note_trials(content, record, this->hooks.timers.now());
    this->hooks.on_event(event_type::trial_given, content,
        std::to_string(record.trials) + " of " + std::to_string(max_trials));
    on_answer(true);
}

void trial_claims::deny_trial(
    const request_content& content, const std::string& reason, const answer_handler& on_answer) const
{
    this->hooks.on_event(event_type::trial_withheld, content, reason);
    on_answer(false);
}

void trial_claims::drop(const request_content& content)
{
    this->hooks.drop(content.value());
}

} // namespace sailtiller
