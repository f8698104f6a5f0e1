// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "childprocess.h"

#include <operations/operatorsession.h>
#include <standins/enginestandin.h>
#include <standins/hostsstandin.h>
#include <standins/logstandin.h>
#include <support/looprunner.h>
#include <support/samplebundle.h>

namespace sailtiller::tests {

constexpr std::uint32_t bed_layers = 8;

/// A stand-in engine with its server; `kill` takes the server and its connections away.
struct bed_engine
{
    bed_engine(event_loop& loop, duration step_time);
    void kill() { this->server.reset(); }

    standins::engine_standin engine;
    std::unique_ptr<http_server> server;
    endpoint address;
};

/// One entry host as a process of its own.
struct bed_host
{
    std::string name;
    std::unique_ptr<child_process> process;
    endpoint callers;
    endpoint admin;
    endpoint peers;
};

/// An answer to a streamed completion as far as it came.
struct streamed_answer
{
    std::string text;
    bool is_done = false; ///< "[DONE]" came
    bool has_ended = false; ///< the connection's answer ended, whole or not
    int status = 0;
};

/// Hosts and operators as real processes before stand-ins that run in the test's own loop.
class fleet_bed : public testing::Test
{
protected:
    fleet_bed();
    void TearDown() override;

    void start_engines(duration step_time);
    bed_host& start_host(const std::string& name, const std::vector<std::string>& more_flags = {});
    /// Writes the platform's list from the hosts that were started, and the upstreams that are leaving.
    void write_host_list();
    /// Runs an operator's command to its end.
    int run_command(const std::vector<std::string>& arguments);
    std::unique_ptr<child_process> start_command(const std::vector<std::string>& arguments);
    int wait_for(child_process& process);
    /// Writes a bundle's file, signs and publishes it; gives the arguments that activate it.
    std::vector<std::string> prepare(const std::string& name);
    /// Prepares a bundle, activates it and waits until it is in force on these hosts.
    void activate(const std::string& name, const std::vector<bed_host*>& hosts);
    json status_of(const bed_host& host);
    void wait_until_generation(const bed_host& host, std::uint64_t generation);

    /// Starts a request for a text of 30 tokens; the answer fills as the loop runs.
    std::shared_ptr<http_response> ask(const bed_host& host, const std::string& prompt,
        const http_headers& more_headers = {}, std::uint32_t tokens = 30);
    static std::string text_of(const http_response& answer);
    [[nodiscard]] std::uint64_t total(std::uint64_t (standins::engine_standin::*count)() const) const;
    [[nodiscard]] std::string path(const std::string& file) const { return this->folder + "/" + file; }

    event_loop loop;
    std::string folder;
    standins::log_standin log{this->loop};
    standins::hosts_standin host_list;
    http_server log_server;
    http_server list_server;
    endpoint log_address;
    endpoint list_address;
    http_client client{this->loop, {}};
    std::vector<std::unique_ptr<bed_engine>> engines;
    std::vector<std::unique_ptr<bed_host>> hosts;
    std::set<std::string> leaving;
    bundle content = make_sample_bundle({.layers = bed_layers});
    std::string last_output;
};

} // namespace sailtiller::tests
