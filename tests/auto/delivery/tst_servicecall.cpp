// SPDX-License-Identifier: Apache-2.0
#include <delivery/servicecall.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

class service_call_test : public testing::Test
{
protected:
    void start(bool is_repeatable)
    {
        service_hooks hooks;
        hooks.send = [this](const service_option& target, auto on_answer, auto on_failure) {
            this->sent_to.push_back(target.name);
            this->answer = std::move(on_answer);
            this->fail = std::move(on_failure);
            return this->sent_to.size();
        };
        hooks.cancel_call = [this](call_id) { ++this->cancelled; };
        hooks.choose_upstream = [this](const std::set<upstream_id>& avoid) {
            return choose_service_option(this->options, {this->now, avoid}, this->random);
        };
        hooks.take_retry = [] { return true; };
        hooks.note = [](const std::string&, const std::string&, const std::string&) {};
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        this->call = std::make_unique<service_call>(
            service_call::request{service_id("s"), is_repeatable, {1s, 1s, 10s}, 3}, hooks,
            [this](const service_answer& item) { this->status = item.status; },
            [this](const request_failure& item) { this->outcome = item.outcome; });
        this->call->start();
    }

    void pass(duration time)
    {
        this->now += time;
        this->timers.run_due(this->now);
    }

    load_table loads;
    std::vector<service_option> options{
        {upstream_id("a"), endpoint("127.0.0.1:1"), this->loads.load_of(upstream_id("a"))},
        {upstream_id("b"), endpoint("127.0.0.1:2"), this->loads.load_of(upstream_id("b"))}};
    random_function random = make_seeded_random(1);
    time_point now{};
    timer_queue timers;
    std::vector<upstream_id> sent_to;
    int cancelled = 0;
    std::function<void(const service_answer&)> answer;
    std::function<void(const send_failure&)> fail;
    int status = 0;
    std::optional<request_outcome> outcome;
    std::unique_ptr<service_call> call;
};

TEST_F(service_call_test, an_answer_is_forwarded_with_any_status)
{
    this->start(false);
    this->answer({404, {}, ""});
    EXPECT_EQ(this->status, 404);
    EXPECT_EQ(this->timers.size(), 0U);
}

TEST_F(service_call_test, a_repeatable_call_is_retried_elsewhere_when_an_upstream_does_not_answer)
{
    this->start(true);
    this->pass(1s);
    ASSERT_EQ(this->sent_to.size(), 2U);
    EXPECT_NE(this->sent_to[0], this->sent_to[1]);
    EXPECT_EQ(this->cancelled, 1);
    this->answer({200, {}, ""});
    EXPECT_EQ(this->status, 200);
}

TEST_F(service_call_test, a_call_is_not_sent_while_all_upstreams_are_paused)
{
    for (const service_option& option : this->options) {
        option.load->note_retry_after(this->now, 3s);
    }
    this->start(true);
    EXPECT_TRUE(this->sent_to.empty());
    EXPECT_EQ(this->outcome, request_outcome::not_run);
}

TEST_F(service_call_test, a_call_that_is_not_repeatable_runs_at_most_once)
{
    this->start(false);
    this->pass(9s);
    EXPECT_FALSE(this->outcome) << "it may take its whole time";
    this->fail({send_certainty::may_have_run, {"test", "a"}, "", {}});
    EXPECT_EQ(this->sent_to.size(), 1U);
    EXPECT_EQ(this->outcome, request_outcome::unknown);
}

TEST_F(service_call_test, a_call_that_was_not_sent_is_sent_elsewhere_even_if_not_repeatable)
{
    this->start(false);
    this->fail({send_certainty::not_sent, {"connect", "a"}, "", {}});
    EXPECT_EQ(this->sent_to.size(), 2U);
    this->fail({send_certainty::not_sent, {"connect", "b"}, "", {}});
    EXPECT_EQ(this->outcome, request_outcome::not_run);
}

} // namespace

} // namespace sailtiller
