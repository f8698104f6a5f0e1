// SPDX-License-Identifier: Apache-2.0
// Upstreams that say in their answers that they leave or want no requests for a while, before real hosts.
#include "sitebed.h"

#include <support/pausebound.h>

#include <algorithm>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// From a host's passing on that an upstream leaves, until it must send nothing there, by the users' sheets.
constexpr duration leaving_margin = 2s;

class upstream_notices : public site_bed
{
protected:
    void start_hosts()
    {
        for (const char* name : {"a", "b", "c"}) {
            this->start_host(name);
        }
        for (const auto& host : this->hosts) {
            run_until(this->loop, [&] { return this->is_served(*host, "/submit/x"); });
        }
    }

    bool is_served(const site_host_process& host, const std::string& path)
    {
        const auto answer = this->ask(host, "probe-" + std::to_string(this->probes++), path);
        this->wait_for(answer);
        return answer->status == 200;
    }

    /// Requests at each host in turn, one after each pause.
    void send(duration time, duration pause, const std::string& path)
    {
        const time_point end = this->loop.now() + time;
        while (this->loop.now() < end) {
            const std::size_t host = this->host_of_request.size() % this->hosts.size();
            const std::string id = "r" + std::to_string(this->host_of_request.size());
            this->host_of_request[id] = host;
            this->answers.push_back(this->ask(*this->hosts[host], id, path));
            this->pass(pause);
        }
    }

    /// Requests of one host that came to the upstream, from a moment on.
    [[nodiscard]] std::vector<time_point> arrivals(
        const std::string& upstream, std::size_t host, time_point begin = {}) const
    {
        std::vector<time_point> moments;
        const auto found = this->world.arrivals.find(upstream);
        if (found == this->world.arrivals.end()) {
            return moments;
        }
        for (const standins::request_arrival& arrival : found->second) {
            if (arrival.at >= begin && this->is_of(arrival.request, host)) {
                moments.push_back(arrival.at);
            }
        }
        return moments;
    }

    [[nodiscard]] std::vector<asked_pause> pauses(const std::string& upstream, std::size_t host) const
    {
        std::vector<asked_pause> list;
        for (const standins::refused_arrival& item : this->world.refused) {
            if (item.upstream == upstream && this->is_of(item.request, host)) {
                list.push_back({item.at, item.pause});
            }
        }
        return list;
    }

    [[nodiscard]] bool is_of(const std::string& request, std::size_t host) const
    {
        const auto found = this->host_of_request.find(request);
        return found != this->host_of_request.end() && found->second == host;
    }

    void check_pauses(const std::string& upstream) const
    {
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            EXPECT_LE(most_in_one_pause(this->arrivals(upstream, host), this->pauses(upstream, host)),
                most_in_pause)
                << upstream << " from " << this->hosts[host]->name;
        }
    }

    /// The hosts stream for a while; the engine that led most of the streams.
    std::string start_hosts_and_find_busiest()
    {
        this->start_hosts();
        for (const auto& host : this->hosts) {
            this->wait_until_served(*host);
        }
        this->world.arrivals.clear();
        this->send(2s, 50ms, "/chat/x");
        const auto most = std::max_element(this->world.arrivals.begin(), this->world.arrivals.end(),
            [](const auto& left, const auto& right) { return left.second.size() < right.second.size(); });
        return most->first;
    }

    [[nodiscard]] bool are_all_served() const
    {
        return std::all_of(this->answers.begin(), this->answers.end(),
            [](const auto& answer) { return answer->status == 200; });
    }

    std::map<std::string, std::size_t> host_of_request;
    std::vector<std::shared_ptr<site_answer>> answers;
};

TEST_F(upstream_notices, a_service_that_asked_for_a_pause_gets_no_requests_until_its_end)
{
    this->start_hosts();
    this->send(1s, 25ms, "/submit/x"); // earns the repeats that the first refusals take
    this->world.pauses["service-1"] = 3s;
    this->send(4s, 25ms, "/submit/x");
    this->pass(1s);
    this->check_pauses("service-1");
    EXPECT_TRUE(this->are_all_served()) << "the other one takes all";
    this->world.pauses.clear();
    this->pass(3s);
    const time_point over = this->loop.now();
    this->send(1s, 25ms, "/submit/x");
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        EXPECT_FALSE(this->arrivals("service-1", host, over).empty()) << "the pause is over";
    }
}

TEST_F(upstream_notices, an_engine_that_asked_for_a_pause_leads_no_streams_until_its_end)
{
    this->start_engines(6);
    const std::string paused = this->start_hosts_and_find_busiest();
    this->world.pauses[paused] = 3s;
    this->send(4s, 50ms, "/chat/x");
    this->pass(1s);
    this->check_pauses(paused);
    EXPECT_TRUE(this->are_all_served());
}

TEST_F(upstream_notices, a_service_that_said_it_leaves_gets_no_requests_though_its_entry_says_ready)
{
    this->start_hosts();
    this->world.leaving.insert("service-1");
    const time_point said = this->loop.now();
    this->send(1s, 25ms, "/submit/x");
    this->send(4s, 25ms, "/submit/x");
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        EXPECT_TRUE(this->arrivals("service-1", host, said + 1s + leaving_margin).empty())
            << this->hosts[host]->name;
    }
    EXPECT_TRUE(this->are_all_served());
}

TEST_F(upstream_notices, an_engine_that_said_it_leaves_leads_no_streams_though_its_entry_says_ready)
{
    this->start_engines(6);
    const std::string left = this->start_hosts_and_find_busiest();
    this->world.leaving.insert(left);
    const time_point said = this->loop.now();
    this->send(5s, 50ms, "/chat/x");
    this->pass(1s);
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        const std::vector<time_point> after = this->arrivals(left, host, said);
        const auto late = std::count_if(after.begin(), after.end(),
            [&after](time_point arrival) { return arrival > after.front() + leaving_margin; });
        EXPECT_EQ(late, 0) << left << " from " << this->hosts[host]->name;
    }
    EXPECT_TRUE(this->are_all_served());
}

} // namespace

} // namespace sailtiller::tests
