// SPDX-License-Identifier: Apache-2.0
#include "siteadmin.h"

#include "explainpage.h"

#include <base/httpstatus.h>
#include <placement/layerplan.h>
#include <placement/missinglayers.h>
#include <runtime/eventlog.h>
#include <store/historyoffset.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Requests whose decisions are kept for `explain`: at 12 requests a second the last five minutes, as on
/// hosts that follow signed bundles.
constexpr std::size_t explained_requests = 4'000;
/// Who confirmed a bundle. A label for each host would make hundreds of histograms on each of them.
constexpr const char* store_label = "store";
constexpr const char* host_label = "host";
constexpr std::size_t source_labels = 2;

http_response make_page(int status, std::string body, const char* type = "text/plain")
{
    return {status, {{"content-type", type}}, std::move(body)};
}

http_response make_json(int status, const json& body)
{
    return make_page(status, body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

std::int64_t to_milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

json write_age(const std::optional<duration>& age)
{
    return age ? json(to_milliseconds(*age)) : json();
}

std::string age_text(const std::optional<duration>& age)
{
    return age ? std::to_string(to_milliseconds(*age)) : "never";
}

using request_times_member = time_histogram_family request_times::*;

/// The histograms that a time up to this moment belongs to.
request_times_member times_until(request_moment moment)
{
    switch (moment) {
    case request_moment::sent:
        return &request_times::queue;
    case request_moment::first_event:
        return &request_times::first_token;
    case request_moment::next_event:
        return &request_times::between_tokens;
    case request_moment::ended:
        break;
    }
    return &request_times::total;
}

void write_gauge_header(std::string& out, const std::string& name, const std::string& help)
{
    out += "# HELP " + name + " " + help + "\n# TYPE " + name + " gauge\n";
}

void write_gauge(std::string& out, const std::string& name, const std::string& help, double value)
{
    write_gauge_header(out, name, help);
    out += name + " " + std::to_string(value) + "\n";
}

} // namespace

site_admin::site_admin(site_admin_view view)
    : view(std::move(view))
    , decisions(explained_requests)
    , requests("sailtiller_site_decisions_total", "Decisions about requests, by kind.", "kind")
    , beliefs("sailtiller_site_beliefs_total", "Changes of what this host believes, by kind.", "kind")
    , ends("sailtiller_streams_cut_total",
          "Streams that had begun and ended without their last event, by what ended them.", "cause")
    , rejections("sailtiller_rejected_requests_total",
          "Requests that were answered, or lost with their connection, while they were read.", "code")
    , connections("sailtiller_upstream_connections_total",
          "New connections to upstreams that were made, or could not be made.", "outcome")
    , suspect_refusals("sailtiller_suspect_refusals_total",
          "Requests refused because they, or a part of their prompt, are suspect of crashing upstreams.",
          "kind")
    , relay_losses("sailtiller_relayed_calls_lost_total",
          "Calls by way of other hosts that were lost with these hosts, by how the loss showed.", "cause")
    , answer_faults("sailtiller_malformed_answers_total",
          "Answers of upstreams that were broken off as their bytes are none, by why.", "cause")
    , task_faults("sailtiller_failed_task_runs_total",
          "Runs of periodic tasks that ended by an exception, by task; the next run came in its time.",
          "task")
    , confirmation_ages("sailtiller_bundle_confirmation_age_seconds",
          "Age that the last confirmation of the bundle had reached at the next one, by who gave the next.",
          "source", source_labels)
    , by_route("route", most_class_labels)
    , by_account("account", most_account_labels)
{
}

void site_admin::note(const delivery_event& event)
{
    const std::string what(name_of(event.what));
    this->requests.add(what);
    this->decisions.note(
        request_id(std::string(event.request)), {this->view.now(), what, event.peer, event.detail});
    const std::shared_ptr<const site_bundle>& bundle = this->view.knowledge.bundle();
    log_event(log_level::info, event.what,
        {{"request", std::string(event.request)}, {"peer", event.peer}, {"detail", event.detail},
            {"bundle", bundle ? std::to_string(bundle->version.value()) : "none"},
            {"bundle_age_ms", age_text(this->view.knowledge.bundle_age())},
            {"upstreams_age_ms", age_text(this->view.knowledge.upstreams_age())}});
}

void site_admin::measure(const delivery_order& order, request_moment moment, duration time)
{
    const label_value account = order.account ? order.account->value() : "none";
    const request_times_member times = times_until(moment);
    (this->by_route.*times).record(order.route->name, time);
    (this->by_account.*times).record(account, time);
}

void site_admin::measure_confirmation(const bundle_source& source, duration age)
{
    // The gauge of the present age shows only the moments in which it is read. A histogram keeps each age, so
    // hosts that come near the limit show before a change is late.
    this->confirmation_ages.record(source.peer ? host_label : store_label, age);
}

void site_admin::handle(const std::shared_ptr<http_exchange>& exchange) const
{
    exchange->respond(this->answer(exchange->request()));
}

http_response site_admin::answer(const http_request& request) const
{
    const std::string_view route = request.route();
    if (route == "/healthz") {
        return make_page(http_status::ok, "alive\n");
    }
    if (route == "/readyz") {
        return this->readiness();
    }
    if (route == "/metrics") {
        return make_page(http_status::ok, this->write_metrics(), "text/plain; version=0.0.4");
    }
    if (route == "/metrics/accounts") {
        return make_page(http_status::ok, this->write_account_times(request), "text/plain; version=0.0.4");
    }
    if (route == "/status") {
        return this->status();
    }
    if (route == "/explain") {
        return this->explain(request);
    }
    return make_page(http_status::not_found,
        "unknown page; there are /healthz, /readyz, /metrics, /metrics/accounts?account=NAME, /status and "
        "/explain?request=ID\n");
}

http_response site_admin::readiness() const
{
    if (this->view.is_ready()) {
        return make_page(http_status::ok, "ready\n");
    }
    const bool has_bundle = this->view.knowledge.bundle() != nullptr;
    return make_page(http_status::unavailable,
        this->view.is_stopping() ? "stopping\n"
            : has_bundle         ? "no way to any upstream\n"
                                 : "no bundle yet\n");
}

json site_admin::list_upstreams() const
{
    const time_point now = this->view.now();
    json list = json::array();
    for (const auto& [id, entry] : this->view.knowledge.upstreams().entries()) {
        const discovered_upstream& upstream = entry.upstream;
        const std::optional<time_point> pause_end = this->view.pauses.end_of(id, now);
        const engine_load& load = this->view.loads.of(id);
        const std::optional<double> limit = this->view.limits.limit_of(id);
        list.push_back({{"id", id.value()}, {"service", upstream.service.value()},
            {"address", upstream.address.value()}, {"data_hall", upstream.data_hall.value()},
            {"card", upstream.card}, {"layers", json::array({upstream.held.begin, upstream.held.end})},
            {"leaving", upstream.is_leaving}, {"lapsed", entry.is_lapsed},
            {"suspended", !load.accepts_requests(now)}, {"requests", load.requests},
            {"requests_of_others", load.remote_requests},
            {"requests_per_second", limit ? json(*limit) : json()},
            {"paused_ms", write_age(pause_end ? std::optional(*pause_end - now) : std::nullopt)}});
    }
    return list;
}

json site_admin::list_suspects() const
{
    json list = json::array();
    for (const suspect_state& item : this->view.suspects.list_suspects(this->view.now())) {
        list.push_back({{"kind", std::string(name_of(item.suspect.kind))}, {"id", item.suspect.value},
            {"crashes", item.crashes}, {"trials", item.trials}, {"age_ms", to_milliseconds(item.age)}});
    }
    return list;
}

http_response site_admin::status() const
{
    const std::shared_ptr<const site_bundle>& bundle = this->view.knowledge.bundle();
    const std::optional<fencing_token> token = this->view.order_token();
    const std::optional<log_offset>& upstreams_end = this->view.knowledge.upstreams_end();
    json hosts = json::array();
    for (const known_host& host : this->view.hosts.live_hosts(this->view.now())) {
        hosts.push_back(host.id.value());
    }
    return make_json(http_status::ok,
        {{"host", this->view.self.value()}, {"data_hall", this->view.data_hall.value()},
            {"ready", this->view.is_ready()}, {"stopping", this->view.is_stopping()},
            {"requests_in_flight", this->view.requests_in_flight()},
            {"unreachable", this->list_unreachable()},
            {"calls_by_other_hosts", this->view.calls_by_other_hosts()},
            {"relayed_calls", this->view.relayed_calls()},
            {"bundle", bundle ? json(bundle->version.value()) : json()},
            {"bundle_age_ms", write_age(this->view.knowledge.bundle_age())},
            {"upstreams_age_ms", write_age(this->view.knowledge.upstreams_age())},
            {"upstreams_offset", upstreams_end ? json(number_of(*upstreams_end)) : json()},
            {"live_hosts", hosts}, {"reads_store", this->view.reads_store()},
            {"gives_orders", token.has_value()}, {"order_token", token ? json(token->value()) : json()},
            {"suspects", this->list_suspects()}, {"upstreams", this->list_upstreams()}});
}

http_response site_admin::explain(const http_request& request) const
{
    const json_page page = make_explain_page(request, this->view.self, this->decisions, this->view.now());
    return make_json(page.status, page.body);
}

std::string site_admin::write_metrics() const
{
    std::string out;
    this->requests.write(out);
    this->beliefs.write(out);
    this->ends.write(out);
    this->rejections.write(out);
    this->connections.write(out);
    this->relay_losses.write(out);
    this->answer_faults.write(out);
    this->task_faults.write(out);
    const auto seconds = [](const std::optional<duration>& age) {
        return age ? std::chrono::duration<double>(*age).count() : -1;
    };
    write_gauge(out, "sailtiller_bundle_age_seconds",
        "Since the bundle was known to be the newest; -1: never.",
        seconds(this->view.knowledge.bundle_age()));
    write_gauge(out, "sailtiller_upstreams_age_seconds", "Since the upstreams' entries were read; -1: never.",
        seconds(this->view.knowledge.upstreams_age()));
    this->write_known_upstreams(out);
    write_gauge(out, "sailtiller_live_hosts",
        "Hosts heard lately, this one included; in a large fleet a part.",
        static_cast<double>(this->view.hosts.live_count(this->view.now())));
    write_gauge(out, "sailtiller_present_hosts", "Hosts believed to be there, this one included.",
        static_cast<double>(this->view.hosts.present_count(this->view.now())));
    write_gauge(out, "sailtiller_reads_store", "0 from a read that the store failed to the next it answers.",
        this->view.reads_store() ? 1 : 0);
    write_gauge(out, "sailtiller_gives_orders", "1 on the host that gives orders to engines.",
        this->view.order_token() ? 1 : 0);
    this->write_suspects(out);
    write_gauge(out, "sailtiller_limited_upstreams",
        "Upstreams that name how many requests a second they take.",
        static_cast<double>(this->view.limits.limited_count()));
    write_gauge(out, "sailtiller_paused_upstreams",
        "Upstreams that asked this host to send them nothing for a while.",
        static_cast<double>(this->view.pauses.paused_count(this->view.now())));
    write_gauge(out, "sailtiller_replaced_settings",
        "Numbers and times of the settings file that can't be used and were replaced.",
        static_cast<double>(this->view.replaced_settings()));
    write_gauge(out, "sailtiller_requests_in_flight", "Requests under way on this host.",
        static_cast<double>(this->view.requests_in_flight()));
    write_gauge_header(out, "sailtiller_retries_left", "Repeated sends that this host may still make.");
    for (const auto& [service, left] : this->view.retries_left()) {
        out += "sailtiller_retries_left{service=\"" + service.value() + "\"} " + std::to_string(left) + "\n";
    }
    this->write_admission(out);
    this->write_missing_layers(out);
    this->write_reachability(out);
    this->confirmation_ages.write(out, std::nullopt);
    this->by_route.write(out, std::nullopt);
    return out;
}

void site_admin::write_suspects(std::string& out) const
{
    const crash_suspects& suspects = this->view.suspects;
    write_gauge(out, "sailtiller_suspect_requests", "Requests that are suspect of crashing their upstreams.",
        static_cast<double>(suspects.suspect_count(suspect_kind::request)));
    write_gauge(out, "sailtiller_suspect_prompt_parts",
        "Parts of prompts that are suspect of crashing the upstreams that start on them.",
        static_cast<double>(suspects.suspect_count(suspect_kind::prompt_part)));
    write_gauge(out, "sailtiller_crash_records",
        "Requests and parts of prompts under which an upstream crashed lately.",
        static_cast<double>(suspects.record_count()));
    this->suspect_refusals.write(out);
}

void site_admin::write_known_upstreams(std::string& out) const
{
    // Their age alone doesn't show that two hosts believe in different upstreams.
    const std::optional<log_offset>& end = this->view.knowledge.upstreams_end();
    write_gauge(out, "sailtiller_store_era",
        "How often the store has come back from a copy; -1: never heard.",
        end ? static_cast<double>(era_of(*end).value()) : -1);
    write_gauge(out, "sailtiller_upstreams_offset",
        "Up to where the entries' topic is known; hosts of the same era and offset should know the same; -1: "
        "never.",
        end ? static_cast<double>(number_of(*end)) : -1);
    std::map<service_id, unsigned> counts;
    for (const auto& [id, entry] : this->view.knowledge.upstreams().entries()) {
        ++counts[entry.upstream.service];
    }
    write_gauge_header(
        out, "sailtiller_upstreams_known", "Upstreams that this host believes in, by service.");
    for (const auto& [service, count] : counts) {
        out +=
            "sailtiller_upstreams_known{service=\"" + service.value() + "\"} " + std::to_string(count) + "\n";
    }
}

void site_admin::write_admission(std::string& out) const
{
    admission_control& admission = this->view.admission;
    if (!admission.is_on()) {
        return;
    }
    write_gauge(out, "sailtiller_admitted_share",
        "Share of the demand that the fleet admits to the engines; 1 without an overload.",
        admission.admitted_share());
    write_gauge(out, "sailtiller_held_requests", "Requests that wait at this host for room at the engines.",
        static_cast<double>(admission.queue.size()));
    const admission_counters& counters = admission.counters;
    out += "# HELP sailtiller_admission_total Requests for engines, by the priority of their route and what "
           "became of them.\n"
           "# TYPE sailtiller_admission_total counter\n";
    for (const auto& [key, count] : counters.all()) {
        out += "sailtiller_admission_total{priority=\"" + std::to_string(key.first) + "\",outcome=\""
            + std::string(name_of(key.second)) + "\"} " + std::to_string(count) + "\n";
    }
    write_gauge(out, "sailtiller_first_event_predicted_seconds_sum",
        "Sum of the predicted times to the first event.", to_seconds(counters.predicted_sum()));
    write_gauge(out, "sailtiller_first_event_observed_seconds_sum",
        "Sum of the observed times to the first event of the same requests.",
        to_seconds(counters.observed_sum()));
}

void site_admin::write_missing_layers(std::string& out) const
{
    const std::shared_ptr<const site_bundle>& bundle = this->view.knowledge.bundle();
    const upstream_pool* pool = bundle ? bundle->engine_pool() : nullptr;
    if (pool == nullptr) {
        return;
    }
    write_gauge_header(
        out, "sailtiller_layers_without_holder", "Layers that no engine of the data hall holds.");
    for (const auto& [hall, count] : count_missing_layers(*pool, this->view.knowledge.upstreams())) {
        out += "sailtiller_layers_without_holder{data_hall=\"" + hall.value() + "\"} " + std::to_string(count)
            + "\n";
    }
}

void site_admin::write_reachability(std::string& out) const
{
    write_gauge_header(out, "sailtiller_unreachable_upstream_groups",
        "1 for each service and data hall to which this host can make no connections.");
    for (const upstream_group& group : this->view.unreachable_groups()) {
        out += "sailtiller_unreachable_upstream_groups{service=\"" + group.service.value() + "\",data_hall=\""
            + group.data_hall.value() + "\"} 1\n";
    }
    write_gauge(out, "sailtiller_calls_by_other_hosts",
        "Calls of this host to upstreams that are under way by way of other hosts.",
        static_cast<double>(this->view.calls_by_other_hosts()));
    write_gauge(out, "sailtiller_relayed_calls", "Calls to upstreams that this host relays for other hosts.",
        static_cast<double>(this->view.relayed_calls()));
    write_gauge(out, "sailtiller_hosts_with_unreachable_upstreams",
        "Hosts that report that they can't connect to some upstreams; in a large fleet a part.",
        static_cast<double>(this->view.hosts.count_hosts_with_unreachable(this->view.now())));
}

json site_admin::list_unreachable() const
{
    json list = json::array();
    for (const upstream_group& group : this->view.unreachable_groups()) {
        list.push_back({{"service", group.service.value()}, {"data_hall", group.data_hall.value()}});
    }
    return list;
}

std::string site_admin::write_account_times(const http_request& request) const
{
    std::string out;
    this->by_account.write(out, request.query_value("account"));
    return out;
}

} // namespace sailtiller
