// SPDX-License-Identifier: Apache-2.0
#include "sitehost.h"

#include "rejectionlog.h"
#include "storefailure.h"

#include <base/error.h>
#include <base/httpstatus.h>
#include <base/random.h>
#include <platform/wireconfig.h>
#include <platform/wirerequest.h>
#include <platform/wirestore.h>
#include <platform/wireupstream.h>
#include <routing/headlist.h>
#include <runtime/programsettings.h>

#include <algorithm>
#include <csignal>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// The loop turns at least this often.
constexpr duration longest_turn = std::chrono::seconds(1);
/// Between two looks whether a read is due.
constexpr duration look_pause = milliseconds(50);
/// All hosts but the first ones retry a failed read so often together: while the store is away, each of them
/// would ask for both topics once a second. The first ones tell of its return within half a second.
constexpr duration fleet_retry_interval = milliseconds(100);
/// No host waits longer, as it may be one of the readers by then.
constexpr duration longest_fleet_retry = std::chrono::seconds(3);
/// Where a host stands among all of them, 0 to 1, by a hash of its id.
double turn_of(const host_id& id)
{
    constexpr double all_values = 18446744073709551616.0; // 2^64
    return static_cast<double>(stable_hash(id.value(), 1)) / all_values;
}

/// After so many failed looks at the layers in a row, one a fifth of a second, another host takes the duty.
constexpr unsigned max_failed_looks = 5;

/// After the store came back from a copy, hosts write their records again, spread over this time: 400 of them
/// in one moment are what the store takes in a second.
constexpr milliseconds record_renewal_time(5000);

} // namespace

site_host::site_host(daemon_settings given)
    : settings(std::move(given))
    , signals(this->loop, {SIGTERM, SIGINT, SIGHUP}, [this](int number) { this->take_signal(number); })
    , client(this->loop, {})
    , random(make_system_random())
    , store(
          this->loop, this->client, {.address = this->settings.store->address}, platform::make_store_codec())
    , knowledge(this->make_knowledge_settings(), this->make_state_hooks())
    , reading(this->settings.store->reading)
    , suspects(
          this->loop, this->store, [this] { return this->reading.reads_store(); },
          [this](event_type event) { this->admin.note_belief(event); },
          [this](const std::vector<crash_record>& records) { this->peers.send_crashes(records); })
    , bundles({}, this->make_exchange_hooks())
    , entries({}, this->knowledge, this->make_entry_hooks())
    , peers(this->loop, this->store, this->own_host(), this->make_peers_hooks())
    , limits(
          this->loop, this->peers, this->settings.self, [this] { return this->stop.is_under_way(); },
          [this](event_type event) { this->admin.note_belief(event); })
    , retries(this->settings.store->retries)
    , heads(this->random)
    , link(this->loop, this->settings.store->upstream_source, this->make_link_hooks())
    , health(this->loop, this->link, this->knowledge.upstreams(), this->loads, this->settings.self,
          delivery_settings().death_suspension, this->make_health_hooks())
    , admission(this->loop.hooks(), this->random)
    , context(this->make_delivery_context())
    , gateway(this->context)
    , lost_connections(this->loop, this->link, this->gateway)
    , duties(this->loop, this->store, this->settings.self,
          [this] {
              return this->peers.hosts().is_duty_candidate(this->is_fit_for_duties(), this->loop.now());
          })
    , keeper({}, this->make_keeper_hooks(), this->knowledge.upstreams())
    , bundle_follower(this->make_bundle_follower())
    , upstream_follower(this->make_upstream_follower())
    , admin(this->make_admin_view())
    , callers(this->loop, this->settings.limits, this->settings.tls,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->gateway.handle(exchange); })
    , admin_server(this->loop, this->settings.limits, std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->admin.handle(exchange); })
    , relay(this->loop, this->settings.limits, this->link, this->knowledge.upstreams(), this->pauses,
          this->make_relay_hooks())
    , stop(this->loop, this->callers, this->gateway, this->relay,
          [this] {
              this->peers.announce_leaving();
              this->duties.leave();
          })
    , settings_file(this->loop, [this] { this->reload(); })
    , layer_looks(this->loop, "look at layers", placement_controller_settings().look_interval,
          [this] { this->look_at_layers(); })
{
    this->loop.when_task_fails([this](const std::string& task) { this->admin.count_task_fault(task); });
    this->callers.when_rejected(
        [this](const http_server_event& event) { this->admin.count_rejection(log_rejection(event)); });
}

delivery_context site_host::make_delivery_context()
{
    return {this->loop.hooks(), platform::make_request_codec(),
        [this](const upstream_target& target, const http_request& request, bool may_repeat,
            http_call_handlers handlers) {
            return this->link.send(target, request, may_repeat, std::move(handlers));
        },
        [this](const path_change& change, const std::function<void(const path_change_answer&)>& on_answer) {
            this->link.send_path_change(change, on_answer);
        },
        this->health.stream_watch(), this->knowledge.upstreams(), this->loads, this->retries, this->pipes,
        this->suspects.records(),
        [this](const suspect_list& tried, const std::function<void(bool)>& on_answer) {
            this->suspects.claim_trial(tried, on_answer);
        },
        this->limits.own_part(), [this](const upstream_id& id) { this->knowledge.note_leaving(id); },
        this->pauses, this->random, this->settings.data_hall,
        [this] { return this->knowledge.is_bundle_fresh(); },
        [this](const delivery_event& event) { this->admin.note(event); }, {},
        [this](const delivery_order& order, request_moment moment, duration time) {
            this->admin.measure(order, moment, time);
        },
        [this](stream_end cause) { this->admin.count_end(cause); },
        [this](const service_id& service, bool may_repeat) {
            return this->retry_after_if_unreachable(service, may_repeat);
        },
        [this](suspect_kind kind) { this->admin.count_suspect_refusal(kind); },
        [this](const upstream_id& id) { return !this->link.unreachable_since(id).has_value(); },
        [this](answer_fault fault) { this->admin.count_answer_fault(fault); }, &this->heads, &this->admission,
        {}, this->settings.limits.memory};
}

void site_host::log_call(const delivery_event& event)
{
    if (!event.request.empty()) { // probes are logged by their results
        this->admin.note(event);
    }
}

upstream_link_hooks site_host::make_link_hooks()
{
    return {this->random, this->knowledge.upstreams(),
        [this](bool is_made) { this->admin.count_connection(is_made); },
        [this](
            const upstream_group& group, bool is_reachable) { this->note_reachability(group, is_reachable); },
        [this](const upstream_group& group) { return this->list_relay_candidates(group); },
        [this](const host_id& id) { return this->peers.hosts().is_alive(id, this->loop.now()); },
        [this](const host_id& id, const upstream_group& group) {
            this->peers.note_unreachable_group(id, group);
        },
        [this](relay_loss cause) { this->admin.count_relay_loss(cause); },
        [this](answer_fault fault) { this->admin.count_answer_fault(fault); },
        [this] { return this->peers.hosts().live_count(this->loop.now()) > 1; },
        [this](const delivery_event& event) { this->log_call(event); }};
}

site_relay_hooks site_host::make_relay_hooks()
{
    site_relay_hooks hooks;
    hooks.is_host = [this](const endpoint& peer) { return this->peers.hosts().has_host_at(peer); };
    hooks.is_bundle_fresh = [this] { return this->knowledge.is_bundle_fresh(); };
    hooks.on_head = [this](const upstream_target& target, int status, const http_headers& headers,
                        time_point sent) {
        const upstream_answer answer = this->context.codec.decode_answer(status, headers);
        if (!target.request.value().empty() && answer.id == target.request) {
            note_answer(this->context, target.id, answer, sent);
        }
    };
    hooks.log = [this](const delivery_event& event) { this->log_call(event); };
    return hooks;
}

std::vector<relay_candidate> site_host::list_relay_candidates(const upstream_group& group) const
{
    std::vector<relay_candidate> list;
    for (const relaying_host& item : this->peers.hosts().list_relaying_hosts(group, this->loop.now())) {
        list.push_back({item.host.id, item.relay_address, item.host.data_hall == this->settings.data_hall,
            item.relayed_calls, item.host.data_hall});
    }
    return list;
}

std::optional<duration> site_host::retry_after_if_unreachable(
    const service_id& service, bool may_repeat) const
{
    if (this->link.has_way_to(service, may_repeat)) {
        return std::nullopt;
    }
    // A host that hears no other one is the exception; callers find a way at the next host.
    const bool is_alone = this->peers.hosts().live_count(this->loop.now()) <= 1;
    return is_alone ? retry_elsewhere_after : delivery_settings().retry_after;
}

void site_host::note_reachability(const upstream_group& group, bool is_reachable)
{
    const event_type what =
        is_reachable ? event_type::upstreams_reachable : event_type::upstreams_unreachable;
    this->admin.note_belief(what);
    this->health.note_way_changed(group);
    log_event(is_reachable ? log_level::info : log_level::warning, what,
        {{"service", group.service.value()}, {"data_hall", group.data_hall.value()},
            {"relaying_hosts", std::to_string(this->list_relay_candidates(group).size())}});
    if (!is_reachable) {
        this->lost_connections.watch();
    }
}

bool site_host::connects_to_engines() const
{
    const std::shared_ptr<const site_bundle>& bundle = this->gateway.current_bundle();
    const upstream_pool* pool = bundle ? bundle->engine_pool() : nullptr;
    return pool == nullptr || this->link.connects_to(pool->name);
}

bool site_host::is_fit_for_duties() const
{
    // A host that can't do the work of a duty leaves it to another one.
    return this->reading.reads_store() && this->connects_to_engines()
        && this->layer_looks.failures_in_a_row() < max_failed_looks;
}

upstream_health_hooks site_host::make_health_hooks()
{
    upstream_health_hooks hooks;
    hooks.on_belief = [this](event_type event) { this->admin.note_belief(event); };
    hooks.on_dead = [this](const std::vector<upstream_id>& ids) { this->gateway.leave_upstreams(ids); };
    hooks.on_back = [this](const upstream_id& id) { this->gateway.keep_upstream(id); };
    hooks.on_replaced = [this](const upstream_id& id) { this->knowledge.note_ended(id); };
    hooks.on_leaving = [this](const upstream_id& id) { this->knowledge.note_leaving(id); };
    hooks.judge_silence = [this](const upstream_id& id) { return this->link.judge_silence(id); };
    hooks.on_held = [this](const upstream_id& id, const layer_span& held) {
        this->knowledge.record_reported_layers(id, held, this->loop.now());
    };
    return hooks;
}

keyed_follower_hooks site_host::make_follower_hooks(store_topic topic)
{
    keyed_follower_hooks hooks;
    hooks.timers = this->loop.hooks();
    hooks.read_newest = [this](store_topic topic, const std::function<void(const newest_page&)>& on_all,
                            const std::function<void(const error&)>& on_failure) {
        this->store.read_newest(topic, on_all, on_failure);
    };
    hooks.read_after = [this](store_topic topic, log_offset from, duration wait,
                           const std::function<void(const record_page&)>& on_page,
                           const std::function<void(const error&)>& on_failure) {
        this->store.read_after(topic, from, wait, on_page, on_failure);
    };
    hooks.longest_retry = [this] {
        const std::size_t present = this->peers.hosts().present_count(this->loop.now());
        return this->is_reader()
            ? duration::zero()
            : std::min(longest_fleet_retry, fleet_retry_interval * static_cast<int>(present));
    };
    hooks.on_failure = [this, topic](const error& failure) {
        this->knowledge.note_store_failed(topic);
        this->reading.note_failed(topic, this->loop.now());
        log_store_failure(failure);
    };
    return hooks;
}

site_state_settings site_host::make_knowledge_settings() const
{
    site_state_settings item;
    item.revoke_limit = this->settings.store->reading.revoke_limit;
    return item;
}

site_state_hooks site_host::make_state_hooks()
{
    site_state_hooks hooks;
    hooks.now = [this] { return this->loop.now(); };
    hooks.decode_bundle = &platform::decode_site_bundle;
    hooks.decode_upstream = &platform::decode_upstream;
    hooks.on_bundle = [this](const std::shared_ptr<const site_bundle>& next) {
        this->gateway.set_bundle(next);
        this->callers.set_limits(this->make_caller_limits(next->limits));
    };
    hooks.on_confirmed = [this](const bundle_source& source, duration age) {
        this->admin.measure_confirmation(source, age);
    };
    hooks.on_event = [this](event_type event, const std::string& subject, const std::string& detail) {
        this->admin.note_belief(event);
        log_event(log_level::info, event, {{"peer", subject}, {"detail", detail}});
    };
    hooks.on_outlived = [this](const upstream_id& id) { this->health.note_ended(id); };
    return hooks;
}

http_server_limits site_host::make_caller_limits(const caller_limits& bundled) const
{
    http_server_limits limits = this->settings.limits;
    // The settings protect the process, so the bundle can only lower these two.
    limits.most_header_bytes = std::min(limits.most_header_bytes, bundled.most_header_bytes);
    limits.most_body_bytes = std::min(limits.most_body_bytes, bundled.most_body_bytes);
    limits.header_time = bundled.header_time;
    limits.idle_time = bundled.idle_time;
    return limits;
}

known_host site_host::own_host() const
{
    return {this->settings.self, this->settings.peer_listen.value_or(endpoint()), this->settings.data_hall};
}

site_peers_hooks site_host::make_peers_hooks()
{
    site_peers_hooks hooks;
    hooks.fill_report = [this](peer_report& report, const peer_report* asker) {
        this->knowledge.fill_report(report, asker);
        this->report_work(report);
        this->health.fill_report(report);
        this->suspects.fill_report(report);
        this->limits.fill_report(report);
        report.relay_address = this->relay.address();
        report.relayed_calls = static_cast<unsigned>(this->relay.calls_in_progress());
        report.unreachable = this->link.unreachable_groups();
    };
    hooks.take_report = [this](const peer_report& report) {
        this->bundles.record_holder(report.sender, report.bundle_version);
        this->knowledge.apply_leaving_notices(report);
        this->health.take_report(report);
        this->suspects.take_records(report.crashes);
        this->limits.take_report(report);
    };
    hooks.take_crashes = [this](const std::vector<crash_record>& crashes) {
        this->suspects.take_records(crashes);
    };
    hooks.random = this->random;
    hooks.answer_limit = [this](const limit_query& question) { return this->limits.answer(question); };
    hooks.give_bundle = [this] { return this->bundles.make_answer(); };
    hooks.give_entries = [this](const std::optional<log_offset>& known) {
        return this->entries.make_answer(known);
    };
    hooks.on_records = [this](const host_table& hosts) {
        this->take_place(hosts);
        this->reading.note_records(this->loop.now());
    };
    hooks.reads_store = [this] { return this->is_fit_for_duties(); };
    hooks.take_answer = [this](const peer_report& answer, time_point asked) {
        this->knowledge.take_answer(answer, asked);
        if (answer.withheld_offset && !this->knowledge.upstreams_end()) {
            this->reading.record_pending_transfer(this->loop.now());
        }
        this->entries.note_answer(answer);
        if (this->knowledge.upstreams_end()) {
            this->upstream_follower.skip_to(*this->knowledge.upstreams_end());
        }
    };
    hooks.on_round = [this](const host_table& hosts) { this->take_round(hosts); };
    hooks.is_leaving = [this] { return this->stop.is_under_way(); };
    return hooks;
}

bundle_exchange_hooks site_host::make_exchange_hooks()
{
    bundle_exchange_hooks hooks;
    hooks.timers = this->loop.hooks();
    hooks.random = this->random;
    hooks.own_version = [this] { return this->knowledge.own_version(); };
    hooks.own_text = [this]() -> const std::string& { return this->knowledge.own_bundle_text(); };
    hooks.ask = [this](const known_host& holder,
                    const std::function<void(const std::optional<std::string>&)>& on_answer) {
        this->peers.ask_bundle(holder, on_answer);
    };
    hooks.take = [this](const known_host& holder, const std::string& text) {
        this->knowledge.apply_bundle_text(text, {holder.id});
    };
    hooks.on_malformed = [](const known_host& holder, const std::string& reason) {
        log_event(log_level::warning, event_type::peer_answer_malformed,
            {{"step", "unpack bundle"}, {"peer", holder.id.value()}, {"reason", reason}});
    };
    return hooks;
}

entry_exchange_hooks site_host::make_entry_hooks()
{
    entry_exchange_hooks hooks;
    hooks.now = [this] { return this->loop.now(); };
    hooks.ask = [this](const known_host& holder, const std::optional<log_offset>& known,
                    const std::function<void(const std::optional<std::string>&)>& on_answer) {
        this->peers.ask_entries(holder, known, on_answer);
    };
    hooks.on_applied = [this](log_offset end) { this->upstream_follower.skip_to(end); };
    hooks.on_malformed = [](const known_host& holder, const std::string& reason) {
        log_event(log_level::warning, event_type::peer_answer_malformed,
            {{"step", "unpack entries"}, {"peer", holder.id.value()}, {"reason", reason}});
    };
    return hooks;
}

void site_host::take_place(const host_table& hosts)
{
    this->reading.set_place({.is_candidate = hosts.is_reader_candidate(),
        .fleet_size = hosts.known_count(),
        .turn = turn_of(this->settings.self)});
}

void site_host::report_work(peer_report& report) const
{
    for (const auto& [id, load] : this->loads.all()) {
        if (load.requests > 0) {
            report.work.push_back({id, load.token_layers, load.requests, load.led});
        }
    }
    report.load = this->admission.own_load();
}

void site_host::take_round(const host_table& hosts)
{
    const time_point now = this->loop.now();
    this->retries.set_sharing_hosts(hosts.recently_present_count(now, this->retries.window()));
    std::vector<host_id> present = hosts.present_ids(now);
    const std::size_t live = present.size();
    this->pipes.set_live_hosts(live);
    this->health.set_live_hosts(std::move(present));
    std::map<upstream_id, upstream_usage> shares;
    for (const auto& [id, work] : hosts.sum_work(now)) {
        shares[id] = {work.token_layers, work.requests, work.led};
    }
    this->loads.set_remote_usage(shares);
    this->admission.set_peer_load(hosts.sum_load(now));
    this->loads.set_unreported_hosts(hosts.pending_host_count(now));
    this->heads.set_live_hosts(live, hosts.present_share_of_own_hall(now));
    this->note_heads();
    this->take_place(hosts);
    if (hosts.live_count(now) <= 1) {
        this->reading.record_no_peers(now);
    }
    this->suspects.tidy(this->is_reader());
    this->look_at_history();
}

void site_host::note_heads()
{
    const std::shared_ptr<const site_bundle>& bundle = this->gateway.current_bundle();
    const upstream_pool* pool = bundle ? bundle->engine_pool() : nullptr;
    if (pool != nullptr && pool->engine && pool->engine->request_slots > 0) {
        const time_point now = this->loop.now();
        this->heads.note_round(list_heads(*pool->engine, pool->name, this->knowledge.upstreams(), this->loads,
                                   this->settings.data_hall, now),
            now);
    }
}

void site_host::look_at_history()
{
    const std::optional<log_offset>& end = this->knowledge.upstreams_end();
    if (!end) {
        return;
    }
    const store_era era = era_of(*end);
    if (this->seen_era && era > *this->seen_era) {
        const auto turn = std::chrono::milliseconds(this->random() % record_renewal_time.count());
        this->peers.renew_record(turn);
    }
    this->seen_era = era;
}

bool site_host::is_reader() const
{
    return this->peers.hosts().is_reader(this->is_fit_for_duties(), this->loop.now());
}

keyed_follower site_host::make_bundle_follower()
{
    keyed_follower_hooks hooks = this->make_follower_hooks(store_topic::bundles);
    hooks.is_due = [this] {
        return this->reading.is_bundle_due(this->is_reader(), this->knowledge.bundle_age(), this->loop.now());
    };
    hooks.on_all = [this](const std::vector<keyed_record>& records, log_offset) {
        for (const keyed_record& record : records) {
            this->knowledge.apply_bundle_record(record);
        }
    };
    hooks.on_record = [this](const keyed_record& record, log_offset) {
        this->knowledge.apply_bundle_record(record);
    };
    hooks.on_confirmed = [this](time_point asked) {
        this->reading.note_answered(store_topic::bundles);
        this->knowledge.confirm_bundle(asked);
    };
    return {{.topic = store_topic::bundles, .wait = this->reading.bundle_wait(), .pause = look_pause},
        std::move(hooks)};
}

keyed_follower site_host::make_upstream_follower()
{
    keyed_follower_hooks hooks = this->make_follower_hooks(store_topic::upstreams);
    hooks.is_due = [this] {
        return this->reading.are_upstreams_due(
            this->is_reader(), this->knowledge.upstreams_age(), this->loop.now());
    };
    hooks.on_all = [this](const std::vector<keyed_record>& records, log_offset end) {
        this->knowledge.apply_upstream_list(records, end);
    };
    hooks.on_record = [this](const keyed_record& record, log_offset offset) {
        this->knowledge.apply_upstream_record(record, offset);
    };
    hooks.on_confirmed = [this](time_point asked) {
        this->reading.note_answered(store_topic::upstreams);
        this->knowledge.confirm_upstreams(asked);
    };
    return {{.topic = store_topic::upstreams, .pause = look_pause}, std::move(hooks)};
}

placement_controller_hooks site_host::make_keeper_hooks()
{
    placement_controller_hooks hooks;
    hooks.timers = this->loop.hooks();
    hooks.send = [this](const layer_order& order, const std::function<void(order_result)>& on_result) {
        this->link.send_order(order, on_result);
    };
    hooks.token = [this] { return this->connects_to_engines() ? this->duties.order_token() : std::nullopt; };
    hooks.on_fenced = [this](fencing_token token) { this->duties.note_refused(token); };
    hooks.used_share = [this](const engine_profile& profile, const discovered_upstream& upstream) {
        return upstream.held.is_empty() ? 0 : token_utilization_of(profile, this->loads, upstream);
    };
    hooks.used_slot_share = [this](const engine_profile& profile, const discovered_upstream& upstream) {
        const double requests = this->loads.total_requests(this->loads.of(upstream.id));
        return profile.request_slots == 0 || !upstream.held.holds(0) ? 0 : requests / profile.request_slots;
    };
    hooks.is_dead = [this](const upstream_id& id) { return this->loads.of(id).has_failed(this->loop.now()); };
    hooks.on_result = [this](const layer_order& order, order_result result) {
        log_event(log_level::info, event_type::order,
            {{"peer", order.id.value()}, {"from", std::to_string(order.span.begin)},
                {"to", std::to_string(order.span.end)}, {"token", std::to_string(order.token.value())},
                {"result", std::string(name_of(result))}});
        if (result == order_result::gone) {
            this->knowledge.note_ended(order.id);
        }
    };
    return hooks;
}

void site_host::look_at_layers()
{
    this->knowledge.tidy();
    const auto is_known = [this](const upstream_id& id) {
        return this->knowledge.upstreams().find(id) != nullptr;
    };
    this->loads.forget_idle(is_known);
    this->health.forget(is_known);
    this->limits.tidy(is_known);
    this->pauses.remove_expired(this->loop.now());
    this->gateway.leave_given_up_layers();
    const std::shared_ptr<const site_bundle>& bundle = this->gateway.current_bundle();
    const upstream_pool* pool = bundle ? bundle->engine_pool() : nullptr;
    if (pool != nullptr) {
        this->keeper.reconcile(*pool->engine, pool->name);
    }
    if (this->knowledge.are_entries_stale()) {
        // No entry will show what became of the orders.
        for (const upstream_id& id : this->keeper.engines_with_pending_orders()) {
            this->health.ask(id);
        }
    }
}

bool site_host::is_ready() const
{
    const std::shared_ptr<const site_bundle>& bundle = this->gateway.current_bundle();
    if (bundle == nullptr || this->stop.is_under_way()) {
        return false;
    }
    const std::vector<upstream_pool>& pools = bundle->pools;
    return pools.empty() || std::any_of(pools.begin(), pools.end(), [this](const upstream_pool& pool) {
        return this->link.has_way_to(pool.name, true);
    });
}

std::map<service_id, double> site_host::list_retries_left()
{
    std::map<service_id, double> left;
    if (const std::shared_ptr<const site_bundle>& bundle = this->gateway.current_bundle()) {
        for (const upstream_pool& pool : bundle->pools) {
            left[pool.name] = this->retries.left(pool.name, this->loop.now());
        }
    }
    return left;
}

site_admin_view site_host::make_admin_view()
{
    return {
        .self = this->settings.self,
        .data_hall = this->settings.data_hall,
        .knowledge = this->knowledge,
        .loads = this->loads,
        .admission = this->admission,
        .hosts = this->peers.hosts(),
        .suspects = this->suspects.records(),
        .limits = this->limits.records(),
        .pauses = this->pauses,
        .order_token = [this] { return this->duties.order_token(); },
        .reads_store = [this] { return this->reading.reads_store(); },
        .is_ready = [this] { return this->is_ready(); },
        .is_stopping = [this] { return this->stop.is_under_way(); },
        .unreachable_groups = [this] { return this->link.unreachable_groups(); },
        .calls_by_other_hosts = [this] { return this->link.calls_by_other_hosts(); },
        .relayed_calls = [this] { return this->relay.calls_in_progress(); },
        .requests_in_flight = [this] { return this->gateway.requests_in_flight(); },
        .retries_left = [this] { return this->list_retries_left(); },
        .replaced_settings = [this] { return this->settings.replaced.size(); },
        .now = [this] { return this->loop.now(); },
    };
}

void site_host::run_turn()
{
    // One request's fault must not end the others; what can't go on ends by its time limit.
    try {
        this->loop.run_once(longest_turn);
    } catch (const std::exception& fault) {
        log_event(
            log_level::failure, event_type::internal_error, {{"step", "run loop"}, {"reason", fault.what()}});
    }
}

int site_host::run()
{
    const endpoint address = this->callers.listen(this->settings.listen);
    const endpoint admin_address = this->admin_server.listen(this->settings.admin_listen);
    if (this->settings.metrics_listen) {
        this->admin_server.listen(*this->settings.metrics_listen);
    }
    this->reading.note_start(this->loop.now());
    if (this->settings.relay_listen) {
        this->relay.start(*this->settings.relay_listen);
    }
    const endpoint peer_address = this->peers.start(*this->settings.peer_listen);
    log_event(log_level::info, event_type::started,
        {{"host", this->settings.self.value()}, {"data_hall", this->settings.data_hall.value()},
            {"listen", address.value()}, {"admin", admin_address.value()},
            {"peer_listen", peer_address.value()},
            {"relay_listen", this->relay.address().value_or(endpoint()).value()}});
    this->retries.note_start(this->loop.now());
    this->bundle_follower.start();
    this->upstream_follower.start();
    this->suspects.start();
    this->limits.start();
    this->duties.start();
    this->layer_looks.start();
    this->health.start();
    if (this->settings.file) {
        this->settings_file.start(*this->settings.file);
    }
    while (!this->loop.is_stopped()) {
        this->run_turn();
    }
    this->loop.cancel_work(); // while all that its handlers hold is there
    return this->stop.exit_code();
}

void site_host::take_signal(int number)
{
    if (number == SIGHUP) {
        this->reload();
        return;
    }
    this->stop.begin(this->settings.stop_grace, this->settings.longest_stop);
}

void site_host::reload()
{
    try {
        const daemon_settings next =
            read_daemon_settings(this->settings.arguments, this->settings.used_texts);
        if (!next.store) {
            throw error(
                {"reload settings", "store-address"}, "it can't be taken away while the process runs");
        }
        set_up_log(next.log);
        this->knowledge.set_revoke_limit(next.store->reading.revoke_limit);
        this->reading.set_settings(next.store->reading);
        this->bundle_follower.set_wait(this->reading.bundle_wait());
        this->retries.set_settings(next.store->retries);
        this->link.set_source(next.store->upstream_source);
        this->settings.stop_grace = next.stop_grace;
        this->settings.longest_stop = next.longest_stop;
        this->settings.replaced = next.replaced;
        this->settings.used_texts = next.used_texts;
        log_replaced_settings(next);
        const bool needs_restart = next.listen != this->settings.listen
            || next.admin_listen != this->settings.admin_listen
            || next.store->address != this->settings.store->address || next.self != this->settings.self;
        log_event(log_level::info, event_type::reload,
            {{"outcome", "done"},
                {"addresses", needs_restart ? "changed, restart to use them" : "unchanged"}});
    } catch (const settings_stop& faults) {
        log_event(log_level::failure, event_type::reload,
            {{"outcome", "kept the old settings"}, {"reason", faults.text}});
    } catch (const error& fault) {
        log_event(log_level::failure, event_type::reload,
            {{"outcome", "kept the old settings"}, {"reason", fault.what()}});
    }
}

} // namespace sailtiller
