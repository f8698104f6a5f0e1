// SPDX-License-Identifier: Apache-2.0
// Hosts that can't connect to upstreams which other hosts reach.
#include "sitebed.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// No address of this machine (RFC 5737), so that no connection can be made from it.
constexpr const char* unusable_source = "203.0.113.1:0";
constexpr const char* usable_source = "127.0.0.1:0";
/// For so long after the cut the users allow a host to fail its callers.
constexpr duration contact_time = 3s;

class unreachable_upstreams : public site_bed
{
protected:
    ~unreachable_upstreams() override
    {
        for (const std::string& path : this->settings_files) {
            std::remove(path.c_str());
        }
    }

    site_host_process& start_host_with_settings(const std::string& name)
    {
        this->settings_files.push_back(testing::TempDir() + "sailtiller-" + std::to_string(getpid()) + name);
        this->write_source(this->settings_files.back(), usable_source);
        return this->start_host(
            name, {"--config", this->settings_files.back(), "--relay-listen", "127.0.0.1:0"});
    }

    /// The host can make no connections to upstreams from now on; those that are open live on.
    void cut(std::size_t number)
    {
        this->write_source(this->settings_files[number], unusable_source);
        this->hosts[number]->process->send_signal(SIGHUP);
    }

    void heal(std::size_t number)
    {
        this->write_source(this->settings_files[number], usable_source);
        this->hosts[number]->process->send_signal(SIGHUP);
    }

    void start_hosts(std::initializer_list<const char*> names)
    {
        this->start_engines(3);
        for (const char* name : names) {
            this->start_host_with_settings(name);
        }
        for (const auto& host : this->hosts) {
            this->wait_until_served(*host);
        }
    }

    /// Streams and single-run requests in turn, one after another.
    void ask_in_turn(const site_host_process& host, const std::string& id, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            const std::string name = id + std::to_string(number);
            const bool is_stream = number % 2 == 0;
            const auto answer = this->ask(host, name, is_stream ? "/chat/x" : "/submit/x");
            this->wait_for(answer);
            EXPECT_EQ(answer->status, 200) << name << ": " << answer->body;
            if (is_stream) {
                EXPECT_EQ(answer->body, this->whole_stream()) << name;
            } else {
                EXPECT_EQ(this->world.runs[name], 1U) << name;
            }
        }
    }

    std::vector<std::string> settings_files; ///< of the hosts, in their order

private:
    static void write_source(const std::string& path, const std::string& source)
    {
        std::ofstream(path) << "upstream-source=" << source << "\n";
    }
};

TEST_F(unreachable_upstreams, a_host_that_reaches_no_upstream_serves_its_callers)
{
    this->start_hosts({"a", "b", "c"});
    this->cut(0);
    this->pass(contact_time);
    this->ask_in_turn(*this->hosts[0], "cut-", 20);
    EXPECT_EQ(this->world.order_faults, 0U);
}

} // namespace

} // namespace sailtiller::tests
