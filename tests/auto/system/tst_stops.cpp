// SPDX-License-Identifier: Apache-2.0
// Planned and unplanned ends of hosts.
#include "fleetbed.h"

#include <csignal>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;
using standins::engine_standin;
using standins::expected_text;

class stops : public fleet_bed
{
};

TEST_F(stops, a_planned_stop_cuts_off_no_request_in_flight)
{
    this->start_engines(5ms);
    bed_host& host = this->start_host("a", {"--request-time-ms", "1000"});
    this->activate("one", {&host});
    constexpr std::size_t requests = 10;
    std::vector<std::shared_ptr<http_response>> answers;
    answers.reserve(requests);
    for (std::size_t request = 0; request < requests; ++request) {
        answers.push_back(this->ask(host, std::to_string(request)));
    }
    run_until(this->loop, [&] { return this->total(&engine_standin::steps) >= 40; });
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0);
    run_until(this->loop, [&] { return answers.back()->status != 0; });
    for (std::size_t request = 0; request < answers.size(); ++request) {
        EXPECT_EQ(answers[request]->status, 200);
        EXPECT_EQ(text_of(*answers[request]), expected_text(std::to_string(request), bed_layers, 30));
    }
    const auto late = this->ask(host, "late");
    run_until(this->loop, [&] { return late->status != 0; });
    EXPECT_EQ(late->status, -1) << "no new connection is taken";
}

TEST_F(stops, a_host_that_was_killed_comes_back_under_the_same_generation)
{
    this->start_engines(0ms);
    bed_host& host = this->start_host("a");
    this->activate("one", {&host});
    this->activate("two", {&host});
    host.process->send_signal(SIGKILL);
    run_until(this->loop, [&] { return host.process->exit_code().has_value(); });
    bed_host& again = this->start_host("a");
    this->wait_until_generation(again, 2);
    EXPECT_EQ(this->status_of(again)["bundle"], "two");
}

} // namespace

} // namespace sailtiller::tests
