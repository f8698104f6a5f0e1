// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/peerreport.h>
#include <runtime/eventloop.h>
#include <site/trialclaims.h>
#include <store/storeclient.h>

namespace sailtiller {

/// What a site's host knows of requests and parts of prompts under which upstreams crash: by its own
/// deliveries, from the other hosts, and from the store's records of trials.
class site_suspects
{
public:
    /// Sends records to other hosts at once.
    using records_sender = std::function<void(const std::vector<crash_record>&)>;

    /// `is_store_reached` tells whether the store answered the last read of this host; `on_belief` counts.
    site_suspects(event_loop& loop, store_client& store, std::function<bool()> is_store_reached,
        std::function<void(event_type)> on_belief, records_sender send_records);

    /// Reads the store's records.
    void start() { this->claims.start(); }
    [[nodiscard]] crash_suspects& records() { return this->suspects; }
    [[nodiscard]] const crash_suspects& records() const { return this->suspects; }
    void claim_trial(const suspect_list& tried, const trial_claims::answer_handler& on_answer);
    void fill_report(peer_report& report) const;
    /// Takes the records of another host.
    void take_records(const std::vector<crash_record>& records);
    /// Forgets what is old; one of the hosts ends its records in the store as well.
    void tidy(bool ends_records);

private:
    trial_claims_hooks make_hooks();
    void take_news(event_type event, const suspect_id& suspect);
    void note(event_type event, const suspect_id& suspect, const std::string& detail);
    /// Sends records between the rounds of reports, not more often than `urgent_interval`.
    void schedule_sending();
    void send_urgent();

    event_loop& loop;
    store_client& store;
    std::function<bool()> is_store_reached;
    std::function<void(event_type)> on_belief;
    records_sender send_records;
    bool is_sending_scheduled = false;
    std::optional<time_point> last_sending;
    crash_suspects suspects;
    trial_claims claims;
};

} // namespace sailtiller
