// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/peerreport.h>
#include <runtime/eventloop.h>
#include <site/trialclaims.h>
#include <store/storeclient.h>

namespace sailtiller {

/// What a site's host knows of requests under which upstreams end: by its own deliveries, on the word of the
/// other hosts, and by the store's records of trials.
class site_suspects
{
public:
    /// `is_store_reached` tells whether the store answered the last read of this host; `on_belief` counts.
    site_suspects(event_loop& loop, store_client& store, std::function<bool()> is_store_reached,
        std::function<void(event_type)> on_belief);

    /// Reads the store's records.
    void start() { this->claims.start(); }
    [[nodiscard]] crash_suspects& records() { return this->suspects; }
    [[nodiscard]] const crash_suspects& records() const { return this->suspects; }
    void claim_trial(const request_content& content, const trial_claims::answer_handler& on_answer);
    void fill_report(peer_report& report) const;
    void take_report(const peer_report& report);
    /// Forgets what is old; one of the hosts ends its records in the store as well.
    void tidy(bool ends_records);

private:
    trial_claims_hooks make_hooks();
    void take_news(event_type event, const request_content& content);
    void note(event_type event, const request_content& content, const std::string& detail);

    event_loop& loop;
    store_client& store;
    std::function<bool()> is_store_reached;
    std::function<void(event_type)> on_belief;
    crash_suspects suspects;
    trial_claims claims;
};

} // namespace sailtiller
