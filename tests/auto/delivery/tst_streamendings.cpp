// SPDX-License-Identifier: Apache-2.0
#include "streamdeliveryfixture.h"

#include <delivery/searchobstacles.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class stream_endings_test : public stream_delivery_fixture
{
protected:
    stream_endings_test()
    {
        this->context->log = [this](const delivery_event& event) {
            this->logged.emplace_back(event.what, event.detail);
        };
        this->context->count_end = [this](stream_end cause) { this->ends.push_back(cause); };
    }

    std::vector<std::pair<event_type, std::string>> logged;
    std::vector<stream_end> ends;
};

TEST_F(stream_endings_test, a_time_limit_logs_its_source_and_is_counted)
{
    const auto delivery = this->start_streaming(2);
    this->pass(3s);
    EXPECT_EQ(this->ends, std::vector{stream_end::time_limit});
    EXPECT_EQ(this->logged.back(),
        std::make_pair(event_type::time_limit,
            std::string(
                "limit of the route 3000 ms in bundle 0, 2 events, the last 2980 ms ago, runs 1 of 2, "
                "ended by time_limit while streaming, held up by nothing")));
}

TEST_F(stream_endings_test, a_caller_that_disconnects_during_a_search_logs_the_obstacles)
{
    this->put_engine("other", 3, {0, 8});
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    const auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    this->pass(500ms);
    delivery->abandon();
    EXPECT_EQ(this->ends, std::vector{stream_end::caller_left});
    EXPECT_EQ(this->logged.back(),
        std::make_pair(event_type::caller_left,
            std::string(
                "2 events, the last 500 ms ago, runs 1 of 2, ended by caller_left while searching, held up "
                "by retry allowance 500 ms")));
}

TEST_F(stream_endings_test, a_stream_that_never_began_is_not_counted_as_cut)
{
    const auto delivery = this->start();
    delivery->abandon();
    EXPECT_TRUE(this->ends.empty());
}

TEST_F(stream_endings_test, a_failed_path_change_logs_its_reason)
{
    this->put_engine("other", 4, {8, 16}, "x", "small");
    const auto delivery = this->start_streaming(1);
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->change_answers.size(), 1U);
    this->change_answers[0]({path_change_result::failed, std::nullopt, "no answer within 86 ms"});
    EXPECT_EQ(this->logged.back(),
        std::make_pair(event_type::path_change_refused, std::string("failed: no answer within 86 ms")));
}

// Guards against ending the last allowed run after a failed probe: an engine answered probes 286 ms before
// the host ended its stream.
TEST_F(stream_endings_test, the_last_allowed_run_is_not_ended_by_a_failed_probe)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    const auto delivery = this->start_streaming(1);
    delivery->leave_upstreams({this->last_target()});
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(1, 2));
    delivery->leave_upstreams({this->last_target()});
    this->pass(2500ms);
    EXPECT_FALSE(this->caller.is_aborted);
    EXPECT_FALSE(this->last_send().is_cancelled);
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
}

// Guards against counting time spent waiting for retries as time without a configuration.
TEST_F(
    stream_endings_test, a_search_that_waited_for_retries_is_not_ended_by_an_instant_of_unknown_configuration)
{
    this->put_engine("other", 3, {0, 8});
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    const auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    this->pass(1500ms);
    this->may_send = false;
    this->pass(100ms);
    EXPECT_FALSE(this->caller.is_aborted);
    this->may_send = true;
    this->retries.set_settings({.ratio = 0, .slack = 10, .window = 10s});
    this->pass(500ms);
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
}

// The limit of sends doesn't apply to a started answer, whose caller can't be asked to retry.
TEST_F(stream_endings_test, a_begun_stream_is_not_ended_by_refusals_while_it_may_still_run)
{
    for (int number = 3; number < 8; ++number) {
        this->put_engine("other" + std::to_string(number), number, {0, 8});
    }
    const auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    const std::size_t refused = this->refuse_sends_for(2s, 429);
    EXPECT_FALSE(this->caller.is_aborted) << "after " << refused << " refusals";
    EXPECT_LE(refused, 12U) << "the pauses grow to 400 ms";
    const std::size_t sent = this->sends.size();
    this->pass(500ms);
    ASSERT_GT(this->sends.size(), sent);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
}

// Guards against a stream that stops asking for a path after four unanswered changes: the lost stage prevents
// the event that would reset the count.
TEST_F(stream_endings_test, a_path_change_is_retried_after_one_second_without_answers)
{
    this->put_engine("other", 4, {8, 16}, "x", "small");
    const auto delivery = this->start_streaming(1);
    delivery->leave_upstreams({upstream_id("tail")});
    const time_point begin = this->now;
    std::size_t asked = 0;
    while (this->now - begin < 1s) {
        if (this->change_answers.size() > asked) {
            this->pass(85ms);
            this->change_answers[asked++]({path_change_result::failed, std::nullopt, "no answer"});
        }
        this->pass(5ms);
    }
    this->pass(500ms);
    ASSERT_GT(this->change_answers.size(), asked);
    this->change_answers.back()({path_change_result::changed, std::nullopt});
    this->last_send().handlers.on_body(events(1, 3));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 3));
    EXPECT_TRUE(this->caller.is_finished);
}

TEST_F(stream_endings_test, an_engine_whose_call_was_held_back_is_not_avoided)
{
    this->put_engine("other", 3, {0, 8});
    const auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    ASSERT_EQ(this->sends.size(), 2U);
    this->may_send = false;
    EXPECT_FALSE(this->last_send().handlers.may_send());
    end(this->last_send(), call_ending::not_connected);
    this->may_send = true;
    this->pass(100ms);
    ASSERT_EQ(this->sends.size(), 3U);
    EXPECT_EQ(this->sends[2]->target, this->sends[1]->target);
}

TEST(search_obstacles_test, sums_the_time_of_each_obstacle)
{
    const time_point start{1s};
    search_obstacles obstacles;
    EXPECT_EQ(obstacles.describe(start), "nothing");
    obstacles.note(search_obstacle::configuration, start);
    obstacles.note(search_obstacle::configuration, start + 10ms);
    obstacles.note(search_obstacle::retry_allowance, start + 25ms);
    obstacles.end(start + 125ms);
    obstacles.note(search_obstacle::configuration, start + 200ms);
    EXPECT_EQ(obstacles.describe(start + 205ms), "configuration 30 ms, retry allowance 100 ms");
}

} // namespace

} // namespace sailtiller::tests
