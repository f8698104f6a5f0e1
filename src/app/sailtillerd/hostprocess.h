// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "adminservice.h"
#include "daemonsettings.h"
#include "peerlink.h"

#include <entry/entryservice.h>
#include <fleet/shareallocator.h>
#include <runtime/signalwatch.h>

namespace sailtiller {

/// One entry host: wires the libraries together and runs until it is told to stop.
class host_process
{
public:
    explicit host_process(daemon_settings settings);

    /// Runs until a stop signal has been followed. Returns the exit code.
    int run();

private:
    entry_context make_entry_context();
    follower_hooks make_follower_hooks();
    follower_settings make_follower_settings() const;
    share_hooks make_share_hooks();
    peer_link_hooks make_peer_hooks();
    [[nodiscard]] const account_limits* find_limits(const client_account_id& account) const;
    void tidy_shares();
    admin_view make_admin_view();
    /// Names of the live hosts as owners of keys, gathered once for each change of the list.
    void note_live_names();
    void take_bundle(const std::shared_ptr<const bundle_in_force>& next);
    void take_host_list();
    void take_upstream_states();
    void set_leaving(const upstream_id& name, bool is_leaving);
    void start_following();
    void run_turn();
    void begin_stop();
    void finish_stop_when_idle();

    daemon_settings settings;
    event_loop loop;
    signal_watch signals;
    http_client client;
    random_function random;
    load_table loads;
    host_metrics metrics;
    decision_log decisions;
    share_allocator home;
    peer_link peers;
    share_client shares;
    retry_budget retries;
    engine_client engines;
    service_client services;
    entry_service entry;
    bundle_follower follower;
    admin_service admin;
    std::optional<host_list> hosts;
    http_server callers;
    http_server admin_server;
    std::vector<host_id> live_names;
    bool is_following = false;
    bool is_stopping = false;
    time_point stop_limit{};
    int exit_code = 0;
};

} // namespace sailtiller
