// SPDX-License-Identifier: Apache-2.0
// Hosts that can't connect to upstreams which other hosts reach.
#include "sitebed.h"

#include <fleet/peerreport.h>
#include <runtime/peerserver.h>

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
/// With so many other hosts, real hosts query each other at longer intervals than the heartbeat timeout.
constexpr unsigned quiet_hosts_of_large_fleet = 51;
/// Within this the project wants a host to know of a cut, or of its end, and to tell the others.
constexpr duration detection_time = 1s;

class unreachable_upstreams : public site_bed
{
protected:
    void TearDown() override
    {
        site_bed::TearDown();
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
    void cut(std::size_t number) { this->change_source(number, unusable_source); }
    void heal(std::size_t number) { this->change_source(number, usable_source); }

    void close_idle_connections_to_engines()
    {
        for (const auto& engine : this->engines) {
            engine->close_idle_connections();
        }
        this->pass(50ms); // until the hosts have read it
    }

    /// Single-run requests, which never go over kept connections, so that the host learns of its loss.
    void ask_for_single_runs(const site_host_process& host, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            this->wait_for(this->ask(host, host.name + "-" + std::to_string(number), "/submit/x"));
        }
    }

    /// Hosts that answer reports and do nothing else; the first one, whose record is in the store, tells of
    /// the others.
    void add_quiet_hosts(unsigned count)
    {
        const auto all = std::make_shared<std::vector<host_state>>();
        for (unsigned number = 0; number < count; ++number) {
            this->quiet_hosts.push_back(std::make_unique<peer_server>(this->loop,
                [all, number](const std::string& method, const std::string&) -> std::optional<std::string> {
                    if (method != "site-report") {
                        return std::nullopt;
                    }
                    peer_report report;
                    report.sender = all->at(number).host;
                    report.reads_store = false; // no candidate for duties
                    if (number == 0) {
                        report.news = *all;
                    }
                    return encode_peer_report(report);
                }));
            const known_host self = {host_id("quiet-" + std::to_string(number)),
                this->quiet_hosts.back()->listen(endpoint("127.0.0.1:0")), data_hall_id("x")};
            all->emplace_back().host = self;
            all->back().reads_store = false;
        }
        const known_host& first = all->front().host;
        this->store.put("keyed.sailtiller-hosts", first.id.value(),
            json({{"address", first.address.value()}, {"data_hall", first.data_hall.value()}}).dump());
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

    /// Streams of two seconds, or of 200 events at that interval.
    std::vector<std::shared_ptr<site_answer>> ask_for_long_streams(
        const site_host_process& host, unsigned count, duration event_interval = 10ms)
    {
        this->world.stream_events = 200;
        this->world.event_interval = event_interval;
        std::vector<std::shared_ptr<site_answer>> answers;
        for (unsigned number = 0; number < count; ++number) {
            answers.push_back(this->ask(host, "long-" + host.name + "-" + std::to_string(number)));
        }
        return answers;
    }

    void expect_whole(const std::vector<std::shared_ptr<site_answer>>& answers)
    {
        for (const auto& answer : answers) {
            this->wait_for(answer);
            EXPECT_EQ(answer->status, 200) << answer->body;
            EXPECT_EQ(answer->body, this->whole_stream());
        }
    }

    /// How often the host has made a decision of that kind.
    std::string count_decisions(const site_host_process& host, const std::string& kind)
    {
        const std::string mark = "sailtiller_site_decisions_total{kind=\"" + kind + "\"} ";
        const std::string page = this->fetch(host, "/metrics");
        const std::size_t begin = page.find(mark);
        return begin == std::string::npos
            ? "0"
            : page.substr(begin + mark.size(), page.find('\n', begin) - begin - mark.size());
    }

    std::vector<std::string> settings_files; ///< of the hosts, in their order
    std::vector<std::unique_ptr<peer_server>> quiet_hosts;

private:
    void change_source(std::size_t number, const char* source)
    {
        child_process& process = *this->hosts[number]->process;
        const auto count_reloads = [&process] {
            const std::string& text = process.output();
            const std::string mark = "\"event\":\"reload\"";
            std::size_t count = 0;
            for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
                ++count;
            }
            return count;
        };
        const std::size_t before = count_reloads();
        this->write_source(this->settings_files[number], source);
        process.send_signal(SIGHUP);
        run_until(this->loop, [&count_reloads, before] { return count_reloads() > before; });
    }

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

TEST_F(unreachable_upstreams, a_host_sends_directly_again_once_it_can)
{
    this->start_hosts({"a", "b", "c"});
    this->cut(0);
    this->pass(detection_time);
    this->ask_in_turn(*this->hosts[0], "cut-", 4);
    const std::string relayed = this->count_decisions(*this->hosts[0], "relayed");
    EXPECT_NE(relayed, "0"); // the first ones may still find a kept connection
    this->heal(0);
    this->pass(detection_time);
    this->ask_in_turn(*this->hosts[0], "healed-", 6);
    EXPECT_EQ(this->count_decisions(*this->hosts[0], "relayed"), relayed);
}

TEST_F(unreachable_upstreams, explain_follows_a_request_over_both_hosts)
{
    this->start_hosts({"a", "b"});
    this->cut(0);
    this->pass(detection_time);
    // A request that runs once never goes over a kept connection.
    this->wait_for(this->ask(*this->hosts[0], "cut-0", "/submit/x"));
    EXPECT_NE(this->fetch(*this->hosts[0], "/explain?request=cut-0").find("by way of b"), std::string::npos);
    EXPECT_NE(
        this->fetch(*this->hosts[1], "/explain?request=cut-0").find("relayed_for_peer"), std::string::npos);
}

TEST_F(unreachable_upstreams, all_hosts_but_one_are_served_by_it)
{
    this->start_hosts({"a", "b", "c", "d"});
    for (const std::size_t number : {0U, 1U, 2U}) {
        this->cut(number);
    }
    this->pass(detection_time);
    std::vector<std::shared_ptr<site_answer>> answers;
    for (unsigned number = 0; number < 60; ++number) {
        answers.push_back(this->ask(*this->hosts[number % 3], "r" + std::to_string(number)));
    }
    this->expect_whole(answers);
    EXPECT_EQ(this->world.order_faults, 0U);
}

TEST_F(unreachable_upstreams, hosts_without_any_way_refuse_at_once_and_are_not_ready)
{
    this->start_hosts({"a", "b"});
    this->cut(0);
    this->cut(1);
    this->close_idle_connections_to_engines();
    // A host learns of the loss from its own requests.
    for (unsigned number = 0; number < 4; ++number) {
        this->wait_for(this->ask(*this->hosts[number % 2], "first-" + std::to_string(number)));
    }
    this->pass(detection_time);
    for (const auto& host : this->hosts) {
        const time_point asked = this->loop.now();
        const auto answer = this->ask(*host, "refused-at-" + host->name);
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 503);
        EXPECT_TRUE(find_header(answer->headers, "retry-after"));
        EXPECT_LT(this->loop.now() - asked, 100ms);
        EXPECT_EQ(this->fetch(*host, "/readyz"), "no way to any upstream\n");
    }
    this->heal(0);
    this->heal(1);
    this->pass(detection_time);
    this->ask_in_turn(*this->hosts[0], "healed-", 4);
    EXPECT_EQ(this->fetch(*this->hosts[0], "/readyz"), "ready\n");
}

TEST_F(unreachable_upstreams, open_connections_still_serve_after_a_calm_when_no_host_can_make_new_ones)
{
    this->start_hosts({"a", "b"});
    this->cut(0);
    this->cut(1);
    for (const auto& host : this->hosts) {
        this->ask_for_single_runs(*host, 2);
    }
    this->pass(contact_time);
    for (const auto& host : this->hosts) {
        EXPECT_EQ(this->fetch(*host, "/readyz"), "ready\n");
        const auto stream = this->ask(*host, "stream-at-" + host->name);
        this->wait_for(stream);
        EXPECT_EQ(stream->status, 200) << stream->body;
        const time_point asked = this->loop.now();
        const auto refused = this->ask(*host, "single-run-at-" + host->name, "/submit/x");
        this->wait_for(refused);
        EXPECT_EQ(refused->status, 503) << "it may not go over an open connection";
        EXPECT_LT(this->loop.now() - asked, 100ms);
    }
}

TEST_F(unreachable_upstreams, a_relayed_stream_goes_on_when_its_relaying_host_is_killed)
{
    this->start_hosts({"a", "b", "c"});
    this->cut(0);
    this->pass(detection_time);
    const auto answers = this->ask_for_long_streams(*this->hosts[0], 8);
    this->pass(700ms);
    this->hosts[1]->process->send_signal(SIGKILL);
    this->expect_whole(answers);
    EXPECT_EQ(this->world.order_faults, 0U);
}

TEST_F(unreachable_upstreams, a_relayed_stream_goes_on_when_its_relaying_host_freezes_after_the_way_is_back)
{
    this->start_hosts({"a", "b"});
    this->cut(0);
    this->pass(detection_time);
    const auto answers = this->ask_for_long_streams(*this->hosts[0], 4);
    this->pass(300ms);
    this->heal(0);
    this->pass(detection_time);
    this->hosts[1]->process->send_signal(SIGSTOP);
    this->expect_whole(answers);
    EXPECT_EQ(this->world.order_faults, 0U);
}

TEST_F(unreachable_upstreams, relayed_streams_of_a_large_fleet_are_not_lost_with_hosts_that_live)
{
    constexpr unsigned cut_hosts = 6;
    constexpr unsigned streams = 4; // of each
    this->add_quiet_hosts(quiet_hosts_of_large_fleet);
    this->start_hosts({"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"});
    for (unsigned number = 0; number < cut_hosts; ++number) {
        this->cut(number);
    }
    this->pass(contact_time);
    std::vector<std::shared_ptr<site_answer>> answers;
    for (unsigned number = 0; number < cut_hosts; ++number) {
        const auto more = this->ask_for_long_streams(*this->hosts[number], streams, 20ms);
        answers.insert(answers.end(), more.begin(), more.end());
    }
    this->expect_whole(answers);
    for (unsigned number = 0; number < cut_hosts * streams; ++number) {
        const std::string name =
            "long-h" + std::to_string(number / streams) + "-" + std::to_string(number % streams);
        EXPECT_EQ(this->world.runs[name], 1U) << name;
    }
    EXPECT_EQ(this->world.order_faults, 0U);
}

TEST_F(unreachable_upstreams, a_planned_stop_of_the_relaying_host_cuts_no_relayed_stream)
{
    this->start_hosts({"a", "b"});
    this->cut(0);
    this->pass(detection_time);
    const auto answers = this->ask_for_long_streams(*this->hosts[0], 4);
    this->pass(500ms);
    this->hosts[1]->process->send_signal(SIGTERM);
    this->expect_whole(answers);
    run_until(this->loop, [this] { return this->hosts[1]->process->exit_code().has_value(); });
    EXPECT_EQ(this->hosts[1]->process->exit_code(), 0);
}

TEST_F(unreachable_upstreams, the_duty_to_give_orders_leaves_a_host_that_can_not_reach_the_engines)
{
    this->start_hosts({"a", "b", "c"});
    const auto find_holder = [this] {
        for (std::size_t number = 0; number < this->hosts.size(); ++number) {
            if (json::parse(this->fetch(*this->hosts[number], "/status")).at("gives_orders").get<bool>()) {
                return std::optional(number);
            }
        }
        return std::optional<std::size_t>();
    };
    std::optional<std::size_t> holder;
    run_until(this->loop, [&] {
        holder = find_holder();
        return holder.has_value();
    });
    this->cut(*holder);
    this->ask_in_turn(*this->hosts[*holder], "cut-", 2);
    this->pass(contact_time);
    const std::optional<std::size_t> next = find_holder();
    ASSERT_TRUE(next);
    EXPECT_NE(*next, *holder);
}

} // namespace

} // namespace sailtiller::tests
