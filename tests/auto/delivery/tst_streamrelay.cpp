// SPDX-License-Identifier: Apache-2.0
#include <delivery/streamrelay.h>
#include <standins/enginemodel.h>
#include <support/samplebundle.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t layers = 8;
constexpr std::uint32_t most_tokens = 20;

/// Step that is pending at a fake upstream until the test answers it.
struct waiting_step
{
    stage_option stage;
    step_request step;
    std::function<void(const step_answer&)> on_answer;
    std::function<void(const send_failure&)> on_failure;
    bool is_cancelled = false;
};

/// Relay over two stages with two holders each, a manual clock, and upstreams simulated by the test.
class stream_relay_test : public testing::Test
{
protected:
    void start(bool is_repeatable = true)
    {
        relay_request request;
        request.stream = stream_id("stream");
        request.model = model_id("model-0");
        request.prompt = "prompt";
        request.most_tokens = most_tokens;
        request.is_repeatable = is_repeatable;
        request.is_streamed = this->is_streamed;
        request.times = this->content.times;
        request.most_attempts = 3;
        relay_listener listener;
        listener.on_token = [this](const generated_token& token, token_position position) {
            EXPECT_EQ(position.value(), this->token_count++);
            this->text += token.text;
        };
        listener.on_end = [this] { this->has_ended = true; };
        listener.on_failure = [this](const request_failure& failure) { this->failure = failure; };
        this->relay = std::make_unique<stream_relay>(request, this->make_hooks(), listener);
        this->relay->start();
    }

    relay_hooks make_hooks()
    {
        relay_hooks hooks;
        hooks.send_step = [this](const stage_option& stage, const step_request& step, auto on_answer,
                              auto on_failure) {
            this->steps.push_back({stage, step, std::move(on_answer), std::move(on_failure)});
            return this->steps.size();
        };
        hooks.cancel_step = [this](call_id call) { this->steps.at(call - 1).is_cancelled = true; };
        hooks.release = [this](const stage_option& stage, const stream_id&, attempt_number attempt) {
            this->released.insert(stage.holder.value() + "#" + std::to_string(attempt.value()));
        };
        hooks.choose_chain = [this](const std::set<upstream_id>& avoid) -> std::optional<chain> {
            if (!this->has_chain) {
                return std::nullopt;
            }
            return this->policy(*this->table.routes_of(model_id("model-0")), {this->now, avoid});
        };
        hooks.take_retry = [this] { return this->has_retries; };
        hooks.note = [](const std::string&, const std::string&, const std::string&) {};
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        return hooks;
    }

    /// Returns the answer of a working engine.
    static step_answer answer_of(const step_request& step, const std::vector<std::string>& tokens)
    {
        const bool is_first = step.layers.first.value() == 0;
        const std::uint64_t before =
            is_first ? standins::begin_hidden("prompt", tokens) : std::stoull(step.input);
        const std::uint64_t hidden = standins::run_layers(before, step.layers);
        step_answer answer{step.stream, step.attempt, step.position, std::to_string(hidden), {}, {}};
        if (step.layers.last.value() + 1 == layers) {
            answer.token = standins::make_token(hidden, step.position.value(), most_tokens);
        }
        return answer;
    }

    /// Answers the newest step successfully.
    void answer_step()
    {
        const waiting_step step = this->steps.back();
        const step_answer answer = answer_of(step.step, this->tokens);
        if (answer.token) {
            this->tokens.push_back(answer.token->text);
        }
        step.on_answer(answer);
    }

    void answer_steps(int count)
    {
        for (int step = 0; step < count; ++step) {
            this->answer_step();
        }
    }

    void run_to_end()
    {
        for (int step = 0; step < 1000 && !this->has_ended && !this->failure; ++step) {
            this->answer_step();
        }
    }

    void fail_step(send_certainty certainty)
    {
        const waiting_step step = this->steps.back();
        step.on_failure({certainty, {"test", step.stage.holder.value()}, "made by the test", {}});
    }

    void pass(duration time)
    {
        this->now += time;
        this->timers.run_due(this->now);
    }

    bundle content = tests::make_sample_bundle({.layers = layers});
    load_table loads;
    routing_table table{this->content, host_id("host"), this->loads};
    chain_policy policy = make_chain_policy(policy_kind::least_time, make_seeded_random(1));
    time_point now{};
    timer_queue timers;
    std::vector<waiting_step> steps;
    std::set<std::string> released;
    bool has_retries = true;
    bool has_chain = true;
    bool is_streamed = true;
    std::vector<std::string> tokens;
    std::uint32_t token_count = 0;
    std::string text;
    bool has_ended = false;
    std::optional<request_failure> failure;
    std::unique_ptr<stream_relay> relay;
};

TEST_F(stream_relay_test, each_token_is_processed_by_the_stages_in_order)
{
    this->start();
    this->run_to_end();
    EXPECT_TRUE(this->has_ended);
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
    EXPECT_EQ(this->timers.size(), 0U) << "no timer outlives the stream";
    EXPECT_EQ(this->released.size(), 2U) << "both stages are released";
}

TEST_F(stream_relay_test, a_stream_continues_after_a_stage_dies)
{
    this->start();
    this->answer_steps(7); // three tokens and the first stage of the fourth
    const upstream_id dead = this->steps.back().stage.holder;
    this->fail_step(send_certainty::may_have_run);
    EXPECT_EQ(this->steps.back().step.kind, step_kind::prefill);
    EXPECT_EQ(this->steps.back().step.attempt, attempt_number(2));
    EXPECT_EQ(this->steps.back().step.position, token_position(3));
    EXPECT_EQ(this->steps.back().step.generated.size(), 3U);
    this->run_to_end();
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
    EXPECT_TRUE(this->released.contains(dead.value() + "#1"));
    for (std::size_t index = 8; index < this->steps.size(); ++index) {
        EXPECT_NE(this->steps[index].stage.holder, dead);
    }
}

TEST_F(stream_relay_test, a_stage_that_stops_answering_is_replaced_before_its_time_limit)
{
    this->start();
    this->answer_steps(4); // immediate answers, so the minimum of 100 ms applies
    this->pass(99ms);
    EXPECT_EQ(this->relay->counters().attempts, 1U);
    this->pass(1ms);
    EXPECT_EQ(this->relay->counters().attempts, 2U);
    this->run_to_end();
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
}

TEST_F(stream_relay_test, a_usually_slow_stage_is_given_more_time_but_no_more_than_its_limit)
{
    this->start();
    for (int step = 0; step < 4; ++step) {
        this->pass(20ms);
        this->answer_step();
    }
    this->pass(159ms);
    EXPECT_EQ(this->relay->counters().attempts, 1U) << "eight times 20 ms have not passed";
    this->pass(1ms);
    EXPECT_EQ(this->relay->counters().attempts, 2U);
}

TEST_F(stream_relay_test, a_stream_that_may_not_be_repeated_waits_for_the_whole_time_limit)
{
    this->start(false);
    this->answer_steps(4);
    this->pass(199ms);
    EXPECT_FALSE(this->failure);
    this->pass(1ms);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::unknown);
}

TEST_F(stream_relay_test, late_answers_of_an_earlier_attempt_are_ignored)
{
    this->start();
    this->answer_steps(2);
    const waiting_step old = this->steps.back();
    this->pass(200ms);
    ASSERT_TRUE(old.is_cancelled || this->steps[2].is_cancelled);
    old.on_answer(answer_of(old.step, this->tokens));
    old.on_failure({send_certainty::may_have_run, {"late", ""}, "late", {}});
    this->run_to_end();
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
    EXPECT_EQ(this->relay->counters().attempts, 2U);
}

TEST_F(stream_relay_test, an_answer_for_another_stream_attempt_or_position_is_dropped_and_counted)
{
    this->start();
    this->answer_steps(2);
    step_answer wrong = answer_of(this->steps.back().step, this->tokens);
    wrong.stream = stream_id("another caller's");
    const std::size_t sent = this->steps.size();
    const std::string before = this->text;
    this->steps[sent - 1].on_answer(wrong);
    EXPECT_EQ(this->text, before);
    EXPECT_EQ(this->relay->counters().stale_answers, 1U);
    wrong = answer_of(this->steps.back().step, this->tokens);
    wrong.position = token_position(9);
    this->steps.back().on_answer(wrong);
    EXPECT_EQ(this->relay->counters().stale_answers, 2U);
}

TEST_F(stream_relay_test, reports_not_run_only_if_nothing_was_sent)
{
    this->start();
    this->fail_step(send_certainty::not_sent);
    this->fail_step(send_certainty::refused);
    this->fail_step(send_certainty::not_sent);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::not_run);
}

TEST_F(stream_relay_test, reports_unknown_once_a_stage_has_answered_or_may_have_run)
{
    this->start();
    this->answer_step();
    this->fail_step(send_certainty::not_sent);
    this->fail_step(send_certainty::not_sent);
    this->fail_step(send_certainty::not_sent);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::unknown);
}

TEST_F(stream_relay_test, a_request_that_is_not_repeatable_is_sent_again_only_if_it_was_not_run)
{
    this->start(false);
    this->fail_step(send_certainty::not_sent);
    EXPECT_FALSE(this->failure);
    this->fail_step(send_certainty::may_have_run);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::unknown);
    EXPECT_EQ(this->steps.size(), 2U);
}

TEST_F(stream_relay_test, a_request_at_fault_fails_at_once_and_leaves_the_upstream_in_use)
{
    this->start();
    for (int round = 0; round < 5; ++round) {
        this->failure.reset();
        this->start();
        this->fail_step(send_certainty::ran_and_failed);
        ASSERT_TRUE(this->failure);
        EXPECT_EQ(this->failure->outcome, request_outcome::failed);
        EXPECT_EQ(this->relay->counters().attempts, 1U);
    }
    for (const upstream& item : this->content.upstreams) {
        EXPECT_EQ(this->loads.load_of(item.name)->state(this->now), breaker_state::closed);
    }
}

TEST_F(stream_relay_test, an_empty_retry_budget_ends_the_request)
{
    this->has_retries = false;
    this->start();
    this->fail_step(send_certainty::not_sent);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->relay->counters().attempts, 1U);
}

TEST_F(stream_relay_test, a_started_stream_is_not_ended_by_an_empty_retry_budget)
{
    this->start();
    this->answer_steps(4);
    this->has_retries = false;
    this->fail_step(send_certainty::may_have_run);
    this->pass(100ms);
    this->pass(100ms);
    EXPECT_FALSE(this->failure);
    this->has_retries = true;
    this->pass(100ms);
    EXPECT_EQ(this->relay->counters().attempts, 2U);
    this->run_to_end();
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
    EXPECT_EQ(this->timers.size(), 0U);
}

TEST_F(stream_relay_test, a_started_stream_is_not_ended_by_a_missing_chain)
{
    this->start();
    this->answer_steps(4);
    this->has_chain = false;
    this->fail_step(send_certainty::may_have_run);
    this->pass(100ms);
    EXPECT_FALSE(this->failure);
    this->has_chain = true;
    this->pass(100ms);
    this->run_to_end();
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
}

TEST_F(stream_relay_test, a_started_stream_without_a_chain_ends_at_its_time_limit)
{
    this->content.times.request = 300ms;
    this->start();
    this->answer_steps(4);
    this->has_chain = false;
    this->fail_step(send_certainty::may_have_run);
    this->pass(299ms);
    EXPECT_FALSE(this->failure);
    this->pass(1ms);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::unknown);
    EXPECT_EQ(this->timers.size(), 0U);
}

TEST_F(stream_relay_test, a_non_streamed_answer_is_not_held_when_no_retry_is_left)
{
    this->is_streamed = false;
    this->start();
    this->answer_steps(4);
    this->has_retries = false;
    this->fail_step(send_certainty::may_have_run);
    EXPECT_TRUE(this->failure);
}

TEST_F(stream_relay_test, the_last_attempt_is_not_given_up_on_suspicion)
{
    this->start();
    this->fail_step(send_certainty::not_sent);
    this->answer_step();
    this->fail_step(send_certainty::not_sent);
    this->answer_steps(4);
    ASSERT_EQ(this->relay->counters().attempts, 3U);
    this->pass(this->content.times.step - 1ms);
    EXPECT_FALSE(this->failure);
    this->pass(1ms);
    EXPECT_TRUE(this->failure);
}

TEST_F(stream_relay_test, the_time_limit_of_the_whole_request_holds_over_all_attempts)
{
    this->content.times.request = 300ms;
    this->start();
    this->answer_steps(2);
    this->pass(200ms);
    EXPECT_FALSE(this->failure);
    this->pass(100ms);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::unknown);
    EXPECT_EQ(this->timers.size(), 0U);
}

// Guards against reporting "not-run" for a request that an engine is processing, which the caller would then
// send again. The first step is refused and sent to another engine, and the request's time limit passes
// before that engine answers.
TEST_F(stream_relay_test, a_pending_step_at_the_time_limit_may_have_run)
{
    this->content.times.first_answer = this->content.times.request;
    this->start(false);
    this->pass(50ms);
    this->fail_step(send_certainty::refused);
    ASSERT_EQ(this->steps.size(), 2U);
    this->pass(this->content.times.request - 50ms);
    EXPECT_TRUE(this->steps[1].is_cancelled);
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->outcome, request_outcome::unknown);
}

TEST_F(stream_relay_test, a_disconnected_caller_cancels_the_stream_on_every_stage)
{
    this->start();
    this->answer_steps(5);
    this->relay->cancel();
    EXPECT_TRUE(this->steps.back().is_cancelled);
    EXPECT_EQ(this->released.size(), 2U);
    EXPECT_EQ(this->timers.size(), 0U);
    for (const upstream& item : this->content.upstreams) {
        EXPECT_EQ(this->loads.load_of(item.name)->in_flight(), 0U);
    }
}

TEST_F(stream_relay_test, a_stream_moves_off_an_upstream_that_leaves)
{
    this->start();
    this->answer_steps(3);
    const upstream_id leaving = this->steps[0].stage.holder;
    this->loads.load_of(leaving)->set_leaving(true);
    this->answer_step();
    EXPECT_EQ(this->relay->counters().moves, 1U);
    EXPECT_NE(this->steps.back().stage.holder, leaving);
    this->run_to_end();
    EXPECT_EQ(this->text, standins::expected_text("prompt", layers, most_tokens));
}

} // namespace

} // namespace sailtiller
