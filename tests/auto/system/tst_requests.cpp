// SPDX-License-Identifier: Apache-2.0
// Requests under failures of engines, with hosts as real processes.
#include "fleetbed.h"

#include <algorithm>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;
using standins::engine_fault;
using standins::engine_standin;
using standins::expected_text;

class requests : public fleet_bed
{
protected:
    void SetUp() override
    {
        this->start_engines(2ms);
        this->host = &this->start_host("a");
        this->activate("one", {this->host});
    }

    /// The engine that has run the most steps, so that a fault there hits the stream under way.
    bed_engine& busiest()
    {
        bed_engine* found = this->engines.front().get();
        for (const auto& item : this->engines) {
            found = item->engine.steps() > found->engine.steps() ? item.get() : found;
        }
        return *found;
    }

    void run_until_steps(std::uint64_t count)
    {
        run_until(this->loop, [&] { return this->total(&engine_standin::steps) >= count; });
    }

    void expect_whole(const http_response& answer, const std::string& prompt)
    {
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(text_of(answer), expected_text(prompt, bed_layers, 30));
        EXPECT_EQ(this->total(&engine_standin::violations), 0U);
    }

    bed_host* host = nullptr;
};

TEST_F(requests, an_engine_killed_in_mid_stream_costs_no_token)
{
    const auto answer = this->ask(*this->host, "kill");
    this->run_until_steps(15);
    this->busiest().kill();
    run_until(this->loop, [&] { return answer->status != 0; });
    this->expect_whole(*answer, "kill");
}

TEST_F(requests, an_engine_that_freezes_in_mid_stream_is_left)
{
    const auto answer = this->ask(*this->host, "freeze");
    this->run_until_steps(15);
    this->busiest().engine.set_fault(engine_fault::stall);
    run_until(this->loop, [&] { return answer->status != 0; });
    this->expect_whole(*answer, "freeze");
}

TEST_F(requests, answers_for_another_stream_reach_no_caller)
{
    const auto first = this->ask(*this->host, "first");
    const auto second = this->ask(*this->host, "second");
    this->run_until_steps(10);
    this->busiest().engine.set_fault(engine_fault::wrong_stream);
    run_until(this->loop, [&] { return first->status != 0 && second->status != 0; });
    this->expect_whole(*first, "first");
    this->expect_whole(*second, "second");
}

TEST_F(requests, one_that_is_not_repeatable_is_unknown_after_its_engine_died_and_ran_once)
{
    const auto answer = this->ask(*this->host, "once", {{"x-sailtiller-repeatable", "no"}});
    this->run_until_steps(15);
    this->busiest().kill();
    run_until(this->loop, [&] { return answer->status != 0; });
    EXPECT_EQ(answer->status, 502);
    EXPECT_EQ(find_header(answer->headers, "x-sailtiller-outcome"), "unknown");
    EXPECT_EQ(this->total(&engine_standin::violations), 0U);
}

TEST_F(requests, when_every_engine_is_gone_not_run_is_said_and_is_true)
{
    for (const auto& item : this->engines) {
        item->kill();
    }
    const auto answer = this->ask(*this->host, "nowhere");
    run_until(this->loop, [&] { return answer->status != 0; });
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(find_header(answer->headers, "x-sailtiller-outcome"), "not-run");
    EXPECT_EQ(this->total(&engine_standin::steps), 0U);
}

TEST_F(requests, an_upstream_that_leaves_gets_no_new_request)
{
    const auto before = this->ask(*this->host, "before");
    run_until(this->loop, [&] { return before->status != 0; });
    bed_engine& gone = this->busiest();
    for (const upstream& item : this->content.upstreams) {
        if (item.address == gone.address) {
            this->leaving.insert(item.name.value());
        }
    }
    this->write_host_list();
    run_until(this->loop,
        [&] { return this->host->process->output().rfind("upstream_leaving") != std::string::npos; });
    const std::uint64_t steps = gone.engine.steps();
    for (int request = 0; request < 5; ++request) {
        const auto answer = this->ask(*this->host, "after");
        run_until(this->loop, [&] { return answer->status != 0; });
        this->expect_whole(*answer, "after");
    }
    EXPECT_EQ(gone.engine.steps(), steps);
}

TEST_F(requests, an_accounts_limit_holds_over_two_hosts)
{
    bed_host& second = this->start_host("b");
    this->content.accounts[0].limits.streams = 3;
    this->activate("limited", {this->host, &second});
    const auto knows_both = [](bed_host& item) {
        return item.process->output().find(R"("entries":"6")") != std::string::npos;
    };
    run_until(this->loop, [&] { return knows_both(*this->host) && knows_both(second); });
    std::vector<std::shared_ptr<http_response>> answers;
    answers.reserve(6);
    for (int request = 0; request < 6; ++request) {
        answers.push_back(this->ask(request % 2 == 0 ? *this->host : second, std::to_string(request)));
    }
    run_until(this->loop, [&] {
        return std::all_of(
            answers.begin(), answers.end(), [](const auto& answer) { return answer->status != 0; });
    });
    const auto admitted = std::count_if(
        answers.begin(), answers.end(), [](const auto& answer) { return answer->status == 200; });
    EXPECT_EQ(admitted, 3);
}

TEST_F(requests, an_upstream_that_leaves_before_a_bundle_brings_it_gets_nothing)
{
    const bundle without = this->content;
    upstream late = this->content.upstreams.front();
    late.name = upstream_id("late-engine");
    this->engines.push_back(std::make_unique<bed_engine>(this->loop, 0ms));
    bed_engine& engine = *this->engines.back();
    late.address = engine.address;
    this->content.upstreams.push_back(late);
    this->content.models[0].holders.push_back({late.name, {layer_index(0), layer_index(3)}, 1us});
    const bundle with = this->content;
    this->leaving.insert(late.name.value());
    this->write_host_list();
    run_until(this->loop,
        [&] { return this->host->process->output().find("upstream_leaving") != std::string::npos; });
    this->content = without;
    this->activate("two", {this->host});
    this->content = with;
    this->activate("three", {this->host});
    for (int request = 0; request < 3; ++request) {
        const auto answer = this->ask(*this->host, "late");
        run_until(this->loop, [&] { return answer->status != 0; });
        this->expect_whole(*answer, "late");
    }
    EXPECT_EQ(engine.engine.steps(), 0U);
}

} // namespace

} // namespace sailtiller::tests
