// SPDX-License-Identifier: Apache-2.0
#include "hostprocess.h"

#include "rejectionlog.h"

#include <base/error.h>
#include <logservice/logclient.h>
#include <runtime/programsettings.h>

#include <algorithm>
#include <csignal>

namespace sailtiller {

namespace {

/// Requests whose decisions are kept for `explain`: at 12 requests a second (4,800 over 400 hosts) the last
/// five minutes, in a few megabytes (docs/CAPACITY.md).
constexpr std::size_t explained_requests = 4'000;
constexpr duration host_list_interval = std::chrono::seconds(1);
constexpr duration host_list_patience = std::chrono::seconds(1);
constexpr duration longest_turn = std::chrono::seconds(1);
constexpr duration idle_look_interval = std::chrono::milliseconds(50);
constexpr double initial_retry_ratio = 0.2;

std::int64_t read_unix_seconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

} // namespace

host_process::host_process(daemon_settings settings)
    : settings(std::move(settings))
    , signals(this->loop, {SIGTERM, SIGINT}, [this](int) { this->begin_stop(); })
    , client(this->loop, {})
    , random(make_system_random())
    , decisions(explained_requests)
    , home([this](const client_account_id& account) { return this->find_limits(account); })
    , peers(this->loop, this->settings.self, this->make_peer_hooks())
    , shares(this->settings.self, this->make_share_hooks())
    , retries(initial_retry_ratio)
    , engines(this->client)
    , services(this->client)
    , entry(this->make_entry_context(),
          [this](std::function<void()> action) { this->loop.post(std::move(action)); })
    , follower(this->make_follower_settings(), this->make_follower_hooks())
    , admin(this->make_admin_view())
    , callers(this->loop, this->settings.limits, this->settings.tls,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->entry.handle(exchange); })
    , admin_server(this->loop, this->settings.limits, std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->admin.handle(exchange); })
{
    this->callers.when_rejected(
        [this](const http_server_event& event) { this->metrics.rejected.add(log_rejection(event)); });
}

entry_context host_process::make_entry_context()
{
    return {this->loop.hooks(), &read_unix_seconds, this->random, this->engines, this->services,
        this->metrics, this->decisions, this->shares, this->retries};
}

follower_settings host_process::make_follower_settings() const
{
    follower_settings item;
    item.self = this->settings.self;
    item.trust = this->settings.trust;
    item.renewal.retention = this->settings.log_retention;
    return item;
}

follower_hooks host_process::make_follower_hooks()
{
    follower_hooks hooks;
    hooks.log = make_log_hooks(this->loop, this->client,
        {.address = this->settings.log_address, .stream = this->settings.log_stream});
    hooks.timers = this->loop.hooks();
    hooks.live_hosts = [this] { return this->live_names; };
    hooks.ask_peers = [this](const std::vector<part_digest>& missing) {
        return this->peers.ask_for_bundle(missing);
    };
    hooks.on_bundle = [this](const std::shared_ptr<const bundle_in_force>& next) { this->take_bundle(next); };
    hooks.on_event = [this](event_type kind, const std::string& peer, const std::string& reason) {
        this->metrics.bundle_events.add(label_value(name_of(kind)));
        log_event(log_level::warning, kind, {{"step", "follow bundles"}, {"peer", peer}, {"reason", reason}});
    };
    return hooks;
}

peer_link_hooks host_process::make_peer_hooks()
{
    peer_link_hooks hooks;
    hooks.random = this->random;
    hooks.data_hall = this->settings.data_hall;
    hooks.live_hosts = [this]() -> const std::vector<listed_host>& {
        static const std::vector<listed_host> none;
        return this->hosts ? this->hosts->live_hosts() : none;
    };
    hooks.answer_wishes = [this](const share_query& question) {
        return this->home.answer(question, this->loop.now());
    };
    hooks.tell_bundle = [this](const std::vector<part_digest>& wanted) {
        return this->follower.answer_peer(wanted);
    };
    hooks.take_bundle = [this](const peer_bundle_state& state) { this->follower.handle_peer_state(state); };
    return hooks;
}

share_hooks host_process::make_share_hooks()
{
    share_hooks hooks;
    hooks.timers = this->loop.hooks();
    hooks.live_hosts = [this] { return this->live_names; };
    hooks.query_allocator = [this](const host_id& owner, const share_query& question,
                                const std::function<void(const std::vector<share_grant>&)>& on_grants,
                                const std::function<void()>& on_failure) {
        this->peers.query_allocator(owner, question, on_grants, on_failure);
    };
    return hooks;
}

const account_limits* host_process::find_limits(const client_account_id& account) const
{
    if (!this->entry.current_state()) {
        return nullptr;
    }
    const client_account* found = this->entry.current_state()->accounts().find_by_name(account);
    return found == nullptr ? nullptr : &found->limits;
}

void host_process::tidy_shares()
{
    this->loop.schedule_after(share_lease, [this] { this->tidy_shares(); });
    this->home.drop_unused(this->loop.now());
}

admin_view host_process::make_admin_view()
{
    return {this->settings.self, this->settings.data_hall, this->follower, this->metrics, this->decisions,
        [this] { return this->entry.current_state() != nullptr && !this->is_stopping; },
        [this] { return this->is_stopping; }, [this] { return this->entry.requests_in_flight(); },
        [this] { return this->loop.now(); }};
}

void host_process::note_live_names()
{
    this->live_names.clear();
    if (this->hosts) {
        for (const listed_host& host : this->hosts->live_hosts()) {
            this->live_names.emplace_back(host.name);
        }
    }
    if (this->live_names.empty()) {
        this->live_names.push_back(this->settings.self);
    }
}

void host_process::take_bundle(const std::shared_ptr<const bundle_in_force>& next)
{
    this->retries.set_ratio(next->content.retries.budget_ratio);
    this->entry.set_state(
        std::make_shared<const serving_state>(std::shared_ptr<const bundle>(next, &next->content),
            next->source.generation, this->settings.self, this->loads, this->random));
    this->loads.drop_unused();
    // An upstream that the bundle has just brought may stand in the list as leaving already.
    this->take_upstream_states();
    this->metrics.bundle_events.add("in_force");
    log_event(log_level::info, event_type::bundle_in_force,
        {{"bundle", next->content.name}, {"generation", std::to_string(next->source.generation.value())},
            {"activation", next->source.id.value()}, {"operator", next->source.operator_name},
            {"reason", next->source.reason}});
}

void host_process::set_leaving(const upstream_id& name, bool is_leaving)
{
    upstream_load& load = *this->loads.load_of(name);
    if (load.is_leaving() != is_leaving) {
        log_event(log_level::info, is_leaving ? event_type::upstream_leaving : event_type::upstream_back,
            {{"peer", name.value()}});
    }
    load.set_leaving(is_leaving);
}

void host_process::take_upstream_states()
{
    if (!this->hosts) {
        return;
    }
    for (const listed_host& item : this->hosts->entries()) {
        if (item.is_upstream) {
            this->set_leaving(upstream_id(item.name), item.state == listed_state::leaving);
        }
    }
}

void host_process::take_host_list()
{
    this->note_live_names();
    this->shares.note_hosts_changed();
    this->take_upstream_states();
    this->start_following();
    log_event(log_level::info, event_type::host_list_changed,
        {{"entries", std::to_string(this->hosts->entries().size())}});
}

void host_process::run_turn()
{
    // One request's fault must not end the others; what can't go on ends by its time limit.
    try {
        this->loop.run_once(longest_turn);
    } catch (const std::exception& fault) {
        this->metrics.rejected.add("internal_error");
        log_event(
            log_level::failure, event_type::internal_error, {{"step", "run loop"}, {"reason", fault.what()}});
    }
}

int host_process::run()
{
    this->note_live_names();
    const endpoint address = this->callers.listen(this->settings.listen);
    const endpoint admin_address = this->admin_server.listen(this->settings.admin_listen);
    if (this->settings.metrics_listen) {
        this->admin_server.listen(*this->settings.metrics_listen);
    }
    log_event(log_level::info, event_type::started,
        {{"host", this->settings.self.value()}, {"data_hall", this->settings.data_hall.value()},
            {"listen", address.value()}, {"admin", admin_address.value()}});
    if (this->settings.host_list_address) {
        this->hosts.emplace(
            this->loop, this->client, *this->settings.host_list_address, host_list_interval,
            [this] { this->take_host_list(); },
            [](const error& failure) {
                log_event(log_level::warning, event_type::host_list_unreachable,
                    {{"step", failure.step()}, {"peer", failure.peer()}, {"reason", failure.reason()}});
            });
        this->hosts->start();
    }
    this->shares.start();
    this->tidy_shares();
    if (this->settings.peer_listen) {
        const endpoint peer_address = this->peers.listen(*this->settings.peer_listen);
        log_event(log_level::info, event_type::peers_welcome, {{"peer_listen", peer_address.value()}});
    }
    // The list tells whom to ask for the bundle; a host starts without it if it does not come.
    this->loop.schedule_after(
        this->hosts ? host_list_patience : duration::zero(), [this] { this->start_following(); });
    while (!this->loop.is_stopped()) {
        this->run_turn();
    }
    this->loop.cancel_work(); // while all that its handlers hold is there
    return this->exit_code;
}

void host_process::start_following()
{
    if (!this->is_following) {
        this->is_following = true;
        this->follower.start();
    }
}

void host_process::begin_stop()
{
    if (this->is_stopping) {
        return;
    }
    this->is_stopping = true;
    this->callers.close_after_answers();
    const duration grace = std::min(this->settings.stop_grace, this->settings.longest_stop);
    this->entry.begin_stop(grace, this->settings.longest_stop);
    this->stop_limit = this->loop.now() + this->settings.longest_stop;
    log_event(log_level::info, event_type::stopping,
        {{"requests_in_flight", std::to_string(this->entry.requests_in_flight())}});
    this->loop.schedule_after(grace, [this] {
        this->callers.close_listeners();
        this->finish_stop_when_idle();
    });
}

void host_process::finish_stop_when_idle()
{
    // Again and again: a connection whose answer began before the stop is still promised to be kept.
    this->callers.close_idle_connections();
    const bool is_idle = this->entry.requests_in_flight() == 0 && this->callers.connection_count() == 0;
    const bool is_over = this->loop.now() >= this->stop_limit;
    if (!is_idle && !is_over) {
        this->loop.schedule_after(idle_look_interval, [this] { this->finish_stop_when_idle(); });
        return;
    }
    this->exit_code = is_idle ? exit_ok : exit_failed;
    this->entry.log_aborted_requests();
    log_event(log_level::info, event_type::stopped,
        {{"cut_off", std::to_string(this->entry.requests_in_flight())}});
    this->follower.stop();
    this->loop.stop();
}

} // namespace sailtiller
