// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "childprocess.h"

#include <base/json.h>
#include <runtime/httpclient.h>
#include <standins/pathengine.h>
#include <standins/platformstore.h>
#include <support/looprunner.h>

namespace sailtiller::tests {

/// One host of a site as a process of its own, with its way to the store.
struct site_host_process
{
    std::string name;
    std::unique_ptr<child_process> process;
    endpoint callers;
    endpoint admin;
    /// Outlives the gate, which answers what has come until its end.
    std::unique_ptr<bool> is_gate_open = std::make_unique<bool>(true);
    std::unique_ptr<http_server> store_gate;
};

/// What came of a caller's request.
struct site_answer
{
    int status = 0; ///< -1 if there was no whole answer
    http_headers headers;
    std::string body;
    bool is_done = false;
};

/// Hosts as real processes before stand-ins of the platform that run in the test's own loop.
class site_bed : public testing::Test
{
protected:
    site_bed();
    /// Keeps the hosts' logs of a test that failed, one for each start of a host.
    void TearDown() override;

    /// Starts engines in two halls, each of which can hold the model.
    void start_engines(unsigned count_per_hall);
    site_host_process& start_host(
        const std::string& name, const std::vector<std::string>& more_flags = {}, bool is_gate_open = true);
    /// Puts the configuration in force at the store; accounts are "one" with these keys.
    void write_configuration(std::uint64_t version, const std::vector<std::string>& keys);
    /// The same with this list of accounts, as it stands in the configuration; without one if it is empty.
    void write_accounts(std::uint64_t version, const std::string& accounts);
    std::shared_ptr<site_answer> ask(const site_host_process& host, const std::string& id,
        const std::string& path = "/chat/x", const std::string& key = "key-1",
        const std::string& body = "ask", const http_headers& more_headers = {});
    /// Waits until every layer has a holder that the host knows, shown by a stream that it serves.
    void wait_until_served(const site_host_process& host);
    /// A page of a host's admin address.
    std::string fetch(const site_host_process& host, const std::string& path);
    /// Names of the upstreams that the host believes in.
    std::set<std::string> known_upstreams(const site_host_process& host);
    void wait_for(const std::shared_ptr<site_answer>& answer);
    void pass(duration time);
    /// All events of a stream, once each and in order.
    [[nodiscard]] std::string whole_stream() const;
    void shut_gate(site_host_process& host) { *host.is_gate_open = false; }

    event_loop loop;
    http_client client{this->loop, {}};
    standins::platform_store store{this->loop};
    standins::engine_world world;
    std::vector<std::unique_ptr<standins::path_engine>> engines;
    std::vector<std::unique_ptr<standins::platform_service>> services;
    std::vector<std::unique_ptr<site_host_process>> hosts;
    unsigned probes = 0;
    /// Limits for callers in the configurations that are written from now on; their defaults if it is empty.
    json caller_limits;
};

} // namespace sailtiller::tests
