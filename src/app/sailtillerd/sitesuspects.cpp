// SPDX-License-Identifier: Apache-2.0
#include "sitesuspects.h"

#include "storefailure.h"

#include <runtime/eventlog.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// A part that crashes engines several times a second must be known before the next one is sent, and a report
/// takes up to half a second to the other halls.
constexpr duration urgent_interval = std::chrono::milliseconds(100);
/// Records sent at once; 0.8 kB with three crashes each.
constexpr std::size_t max_urgent_records = 8;

} // namespace

site_suspects::site_suspects(event_loop& loop, store_client& store, std::function<bool()> is_store_reached,
    std::function<void(event_type)> on_belief, records_sender send_records)
    : loop(loop)
    , store(store)
    , is_store_reached(std::move(is_store_reached))
    , on_belief(std::move(on_belief))
    , send_records(std::move(send_records))
    , suspects({}, [this](event_type event, const suspect_id& suspect) { this->take_news(event, suspect); })
    , claims(this->suspects, this->make_hooks())
{
    this->suspects.set_urgent_handler([this] { this->schedule_sending(); });
}

trial_claims_hooks site_suspects::make_hooks()
{
    trial_claims_hooks hooks;
    hooks.timers = this->loop.hooks();
    hooks.read_newest = [this](const std::function<void(const newest_page&)>& on_all,
                            const std::function<void(const error&)>& on_failure) {
        this->store.read_newest(store_topic::suspects, on_all, [on_failure](const error& failure) {
            log_store_failure(failure);
            on_failure(failure);
        });
    };
    hooks.put_at = [this](const std::vector<keyed_record>& records, log_offset end,
                       const std::function<void(bool)>& on_done,
                       const std::function<void(const error&)>& on_failure) {
        this->store.put_at(store_topic::suspects, records, end, on_done, [on_failure](const error& failure) {
            log_store_failure(failure);
            on_failure(failure);
        });
    };
    hooks.drop = [this](const std::string& key) {
        this->store.put(
            store_topic::suspects, {key, std::nullopt}, [] {}, &log_store_failure);
    };
    hooks.is_store_reached = this->is_store_reached;
    hooks.on_event = [this](event_type event, const suspect_id& suspect, const std::string& detail) {
        this->note(event, suspect, detail);
    };
    return hooks;
}

void site_suspects::take_news(event_type event, const suspect_id& suspect)
{
    this->note(event, suspect, "");
    if (event == event_type::request_cleared || event == event_type::prompt_part_cleared) {
        this->claims.drop(suspect);
    }
}

void site_suspects::note(event_type event, const suspect_id& suspect, const std::string& detail)
{
    this->on_belief(event);
    const char* field = suspect.kind == suspect_kind::prompt_part ? "part" : "content";
    log_event(log_level::info, event, {{field, suspect.value}, {"detail", detail}});
}

void site_suspects::schedule_sending()
{
    if (this->is_sending_scheduled) {
        return;
    }
    this->is_sending_scheduled = true;
    const duration since_last = this->last_sending ? this->loop.now() - *this->last_sending : urgent_interval;
    this->loop.schedule_after(std::max(urgent_interval - since_last, duration::zero()), [this] {
        this->is_sending_scheduled = false;
        this->send_urgent();
    });
}

void site_suspects::send_urgent()
{
    this->last_sending = this->loop.now();
    this->send_records(this->suspects.list_updates(this->loop.now(), max_urgent_records));
}

void site_suspects::claim_trial(const suspect_list& tried, const trial_claims::answer_handler& on_answer)
{
    this->claims.claim(tried, on_answer);
}

void site_suspects::fill_report(peer_report& report) const
{
    report.crashes = this->suspects.list_updates(this->loop.now(), max_reported_crash_records);
}

void site_suspects::take_records(const std::vector<crash_record>& records)
{
    this->suspects.handle_updates(records, this->loop.now());
}

void site_suspects::tidy(bool ends_records)
{
    for (const suspect_id& suspect : this->suspects.forget_old(this->loop.now())) {
        if (ends_records) {
            this->claims.drop(suspect);
        }
    }
}

} // namespace sailtiller
