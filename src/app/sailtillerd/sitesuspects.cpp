// SPDX-License-Identifier: Apache-2.0
#include "sitesuspects.h"

#include "storefailure.h"

#include <runtime/eventlog.h>

namespace sailtiller {

site_suspects::site_suspects(event_loop& loop, store_client& store, std::function<bool()> is_store_reached,
    std::function<void(event_type)> on_belief)
    : loop(loop)
    , store(store)
    , is_store_reached(std::move(is_store_reached))
    , on_belief(std::move(on_belief))
    , suspects(
          {}, [this](event_type event, const request_content& content) { this->take_news(event, content); })
    , claims(this->suspects, this->make_hooks())
{
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
    hooks.put_at = [this](const keyed_record& record, log_offset end,
                       const std::function<void(bool)>& on_done,
                       const std::function<void(const error&)>& on_failure) {
        this->store.put_at(store_topic::suspects, record, end, on_done, [on_failure](const error& failure) {
            log_store_failure(failure);
            on_failure(failure);
        });
    };
    hooks.drop = [this](const std::string& key) {
        this->store.put(
            store_topic::suspects, {key, std::nullopt}, [] {}, &log_store_failure);
    };
    hooks.is_store_reached = this->is_store_reached;
    hooks.on_event = [this](event_type event, const request_content& content, const std::string& detail) {
        this->note(event, content, detail);
    };
    return hooks;
}

void site_suspects::take_news(event_type event, const request_content& content)
{
    this->note(event, content, "");
    if (event == event_type::request_cleared) {
        this->claims.drop(content);
    }
}

void site_suspects::note(event_type event, const request_content& content, const std::string& detail)
{
    this->on_belief(event);
    log_event(log_level::info, event, {{"content", content.value()}, {"detail", detail}});
}

void site_suspects::claim_trial(const request_content& content, const trial_claims::answer_handler& on_answer)
{
    this->claims.claim(content, on_answer);
}

void site_suspects::fill_report(peer_report& report) const
{
    report.crashes = this->suspects.list_updates(this->loop.now());
}

void site_suspects::take_report(const peer_report& report)
{
    this->suspects.handle_updates(report.crashes, this->loop.now());
}

void site_suspects::tidy(bool ends_records)
{
    for (const request_content& content : this->suspects.forget_old(this->loop.now())) {
        if (ends_records) {
            this->claims.drop(content);
        }
    }
}

} // namespace sailtiller
