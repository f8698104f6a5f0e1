// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "adminservice.h"
#include "daemonsettings.h"

#include <entry/entryservice.h>
#include <fleet/sharehome.h>
#include <platform/hostlist.h>
#include <runtime/peerclient.h>
#include <runtime/peerserver.h>
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
    /// Asks an account's home for a share; the home may be this host.
    void ask_home(const host_id& owner, const share_question& question,
        const std::function<void(const std::vector<share_grant>&)>& on_grants,
        const std::function<void()>& on_failure);
    [[nodiscard]] const account_limits* find_limits(const client_account_id& account) const;
    void tidy_shares();
    [[nodiscard]] std::optional<endpoint> peer_address_of(const host_id& name) const;
    admin_view make_admin_view();
    std::vector<host_id> live_hosts() const;
    /// Some other hosts to ask, those of the same data hall first.
    std::vector<listed_host> choose_peers() const;
    std::size_t ask_peers(const std::vector<part_digest>& missing);
    std::optional<std::string> answer_peer(const std::string& method, const std::string& body);
    void take_bundle(const std::shared_ptr<const bundle_in_force>& next);
    void take_host_list();
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
    peer_client peers;
    peer_server peer_side;
    share_home home;
    share_holder shares;
    retry_budget retries;
    engine_client engines;
    service_client services;
    entry_service entry;
    bundle_follower follower;
    admin_service admin;
    std::optional<host_list> hosts;
    http_server callers;
    http_server admin_server;
    bool is_following = false;
    bool is_stopping = false;
    time_point stop_limit{};
    int exit_code = 0;
};

} // namespace sailtiller
