// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <admission/admissioncontrol.h>
#include <base/json.h>
#include <bundle/sitebundle.h>
#include <delivery/decisionlog.h>
#include <delivery/deliverycontext.h>
#include <fleet/hosttable.h>
#include <placement/layerorder.h>
#include <relay/relayclient.h>
#include <runtime/httpexchange.h>
#include <runtime/metrics.h>
#include <site/sitestate.h>

namespace sailtiller {

/// What the operators' pages of a site's host show.
struct site_admin_view
{
    const host_id& self;
    const data_hall_id& data_hall;
    const site_state& knowledge;
    const engine_loads& loads;
    admission_control& admission;
    const host_table& hosts;
    const crash_suspects& suspects;
    const upstream_limits& limits;
    const upstream_pauses& pauses;
    std::function<std::optional<fencing_token>()> order_token; ///< nothing if another host gives the orders
    std::function<bool()> reads_store; ///< false from a failed read to the next one that is answered
    std::function<bool()> is_ready;
    std::function<bool()> is_stopping;
    std::function<std::vector<upstream_group>()> unreachable_groups;
    std::function<std::size_t()> calls_by_other_hosts; ///< of this host's, on their way by way of others
    std::function<std::size_t()> relayed_calls; ///< of other hosts
    std::function<std::size_t()> requests_in_flight;
    std::function<std::map<service_id, double>()> retries_left; ///< of each service of the bundle
    std::function<std::size_t()> replaced_settings; ///< values of the file that can't be used
    clock_function now;
};

/// The operators' pages of a site's host, and the record of its decisions.
class site_admin
{
public:
    explicit site_admin(site_admin_view view);

    /// Records and logs one decision about a request, with the versions and ages of what it rests on.
    void note(const delivery_event& event);
    /// A request was answered, or lost, before any delivery had it.
    void count_rejection(const std::string& code) { this->rejections.add(code); }
    /// A stream that had begun ended without its last event.
    void count_end(stream_end cause) { this->ends.add(std::string(name_of(cause))); }
    /// A request was refused because of a suspect of this kind.
    void count_suspect_refusal(suspect_kind kind) { this->suspect_refusals.add(std::string(name_of(kind))); }
    /// A new connection to an upstream was made, or could not be made.
    void count_connection(bool is_made) { this->connections.add(is_made ? "made" : "failed"); }
    /// A call was lost with the host by way of which it went.
    void count_relay_loss(relay_loss cause) { this->relay_losses.add(std::string(name_of(cause))); }
    /// Counts an answer of an upstream that was broken off as its bytes are none.
    void count_answer_fault(answer_fault fault) { this->answer_faults.add(std::string(name_of(fault))); }
    /// Counts a run of a periodic task that has ended by an exception.
    void count_task_fault(const std::string& task) { this->task_faults.add(task); }
    /// Takes one of a request's times into the histograms of its route and its account.
    void measure(const delivery_order& order, request_moment moment, duration time);
    /// Takes the age that the word on the bundle had reached when this source confirmed it anew.
    void measure_confirmation(const bundle_source& source, duration age);
    /// Counts a change of what this host believes.
    void note_belief(event_type event) { this->beliefs.add(label_value(name_of(event))); }
    void handle(const std::shared_ptr<http_exchange>& exchange) const;

private:
    [[nodiscard]] http_response answer(const http_request& request) const;
    [[nodiscard]] http_response readiness() const;
    [[nodiscard]] http_response status() const;
    [[nodiscard]] http_response explain(const http_request& request) const;
    [[nodiscard]] std::string write_metrics() const;
    void write_known_upstreams(std::string& out) const;
    void write_admission(std::string& out) const;
    void write_missing_layers(std::string& out) const;
    void write_reachability(std::string& out) const;
    [[nodiscard]] json list_unreachable() const;
    [[nodiscard]] std::string write_account_times(const http_request& request) const;
    [[nodiscard]] json list_upstreams() const;
    [[nodiscard]] json list_suspects() const;
    void write_suspects(std::string& out) const;

    site_admin_view view;
    decision_log decisions;
    counter_family requests;
    counter_family beliefs;
    counter_family ends;
    counter_family rejections;
    counter_family connections;
    counter_family suspect_refusals;
    counter_family relay_losses;
    counter_family answer_faults;
    counter_family task_faults;
    time_histogram_family confirmation_ages;
    request_times by_route;
    request_times by_account;
};

} // namespace sailtiller
