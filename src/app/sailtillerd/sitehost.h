// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "daemonsettings.h"
#include "lostconnectionwatch.h"
#include "settingswatch.h"
#include "siteadmin.h"
#include "siteduties.h"
#include "sitelimits.h"
#include "sitepeers.h"
#include "siterelay.h"
#include "sitestop.h"
#include "sitesuspects.h"
#include "upstreamhealth.h"
#include "upstreamlink.h"

#include <admission/admissioncontrol.h>
#include <gateway/gatewayservice.h>
#include <placement/placementcontroller.h>
#include <runtime/httpclient.h>
#include <runtime/signalwatch.h>
#include <site/bundleexchange.h>
#include <site/entryexchange.h>
#include <site/sitestate.h>
#include <site/storereadschedule.h>
#include <store/historyoffset.h>
#include <store/keyedfollower.h>
#include <store/storeclient.h>

namespace sailtiller {

/// One host of a site whose bundle, upstreams and duties lie in the platform's store: wires the libraries
/// together and runs until it is told to stop.
class site_host
{
public:
    explicit site_host(daemon_settings settings);

    /// Runs until a stop signal has been followed. Returns the exit code.
    int run();

private:
    delivery_context make_delivery_context();
    upstream_health_hooks make_health_hooks();
    upstream_link_hooks make_link_hooks();
    site_relay_hooks make_relay_hooks();
    /// Logs a decision about a call to an upstream.
    void log_call(const delivery_event& event);
    /// Other hosts that relay requests to the group, as they report.
    [[nodiscard]] std::vector<relay_candidate> list_relay_candidates(const upstream_group& group) const;
    /// When a caller should come back whose service this host has no way to; nothing if it has one.
    [[nodiscard]] std::optional<duration> retry_after_if_unreachable(
        const service_id& service, bool may_repeat) const;
    void note_reachability(const upstream_group& group, bool is_reachable);
    keyed_follower_hooks make_follower_hooks(store_topic topic);
    placement_controller_hooks make_keeper_hooks();
    [[nodiscard]] site_state_settings make_knowledge_settings() const;
    site_state_hooks make_state_hooks();
    /// What callers may send: by the bundle, within the settings.
    [[nodiscard]] http_server_limits make_caller_limits(const caller_limits& bundled) const;
    [[nodiscard]] known_host own_host() const;
    keyed_follower make_bundle_follower();
    keyed_follower make_upstream_follower();
    site_peers_hooks make_peers_hooks();
    bundle_exchange_hooks make_exchange_hooks();
    entry_exchange_hooks make_entry_hooks();
    /// Takes over where this host stands among those that may read the store.
    void take_place(const host_table& hosts);
    /// Adds this host's work at the upstreams.
    void report_work(peer_report& report) const;
    /// Takes over how many hosts live and what the others' requests hold at the upstreams.
    void take_round(const host_table& hosts);
    /// True if this host can connect to the engines, as whoever gives orders to them must.
    [[nodiscard]] bool connects_to_engines() const;
    /// True if this host is fit for the duties of the site: the store answers it, and it reaches the engines.
    [[nodiscard]] bool is_fit_for_duties() const;
    /// True if this host is one of those that read the store for all.
    [[nodiscard]] bool is_reader() const;
    void look_at_layers();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::map<service_id, double> list_retries_left();
    site_admin_view make_admin_view();
    /// Writes again what this host keeps in the store, once that has come back from a copy.
    /// Notes the engines that may lead requests, with their slots.
    void note_heads();
    void look_at_history();
    void run_turn();
    void take_signal(int number);
    /// Reads the settings again and takes over what may change while the process runs.
    void reload();

    daemon_settings settings;
    event_loop loop;
    signal_watch signals;
    http_client client;
    random_function random;
    store_client store;
    site_state knowledge;
    engine_loads loads;
    upstream_pauses pauses;
    store_read_schedule reading;
    std::optional<store_era> seen_era; ///< of the store's history, as of the last look
    site_suspects suspects;
    bundle_exchange bundles;
    entry_exchange entries;
    site_peers peers;
    site_limits limits;
    retry_allowance retries;
    headroom heads;
    pipe_meter pipes;
    upstream_link link;
    upstream_health health;
    admission_control admission;
    delivery_context context;
    gateway_service gateway;
    lost_connection_watch lost_connections;
    site_duties duties;
    placement_controller keeper;
    keyed_follower bundle_follower;
    keyed_follower upstream_follower;
    site_admin admin;
    http_server callers;
    http_server admin_server;
    site_relay relay;
    site_stop stop;
    settings_watch settings_file;
    periodic_task layer_looks;
};

} // namespace sailtiller
