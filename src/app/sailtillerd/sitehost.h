// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "daemonsettings.h"
#include "sitepeers.h"

#include <gateway/gatewayservice.h>
#include <placement/layerkeeper.h>
#include <runtime/connectionpool.h>
#include <runtime/httpclient.h>
#include <runtime/signalwatch.h>
#include <site/siteknowledge.h>
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
    cancel_call send_upstream(
        const endpoint& target, const http_request& request, bool may_repeat, http_call_handlers handlers);
    stall_watch_hooks make_watch_hooks();
    void send_path_change(
        const path_change& change, const std::function<void(const path_change_answer&)>& on_answer);
    void probe(const upstream_id& id, const std::function<void(bool)>& on_answer);
    keyed_follower_hooks make_follower_hooks();
    layer_keeper_hooks make_keeper_hooks();
    [[nodiscard]] site_knowledge_settings make_knowledge_settings() const;
    site_knowledge_hooks make_knowledge_hooks();
    [[nodiscard]] known_host own_host() const;
    keyed_follower make_bundle_follower();
    keyed_follower make_upstream_follower();
    site_peers_hooks make_peers_hooks();
    [[nodiscard]] bool is_reader() const;
    void join_duties();
    void look_at_layers();
    void send_order(const layer_order& order, const std::function<void(order_result)>& on_result);
    [[nodiscard]] std::optional<fencing_token> current_token() const;
    [[nodiscard]] bool is_ready() const;
    void answer_admin(const std::shared_ptr<http_exchange>& exchange) const;
    void run_turn();
    void take_signal(int number);
    void begin_stop();
    void finish_stop_when_idle();

    daemon_settings settings;
    event_loop loop;
    signal_watch signals;
    http_client client;
    random_function random;
    store_client store;
    order_codec orders;
    site_knowledge knowledge;
    part_loads loads;
    site_peers peers;
    retry_allowance retries;
    pipe_meter pipes;
    connection_pool upstream_connections;
    stall_watch watch;
    delivery_context context;
    gateway_service gateway;
    layer_keeper keeper;
    keyed_follower bundle_follower;
    keyed_follower upstream_follower;
    http_server callers;
    http_server admin_server;
    std::optional<group_membership> membership;
    time_point membership_asked{};
    fencing_token refused_token;
    bool is_stopping = false;
    time_point stop_limit{};
    int exit_code = 0;
};

} // namespace sailtiller
