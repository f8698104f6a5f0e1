// SPDX-License-Identifier: Apache-2.0
#include <routing/retrybudget.h>
#include <routing/upstreamload.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

time_point at(duration elapsed)
{
    return time_point(elapsed);
}

TEST(upstream_load, one_failure_does_not_open_the_breaker_and_three_in_a_row_do)
{
    upstream_load load{breaker_settings{}};
    load.note_failure(at(0s));
    load.note_failure(at(0s));
    EXPECT_EQ(load.state(at(0s)), breaker_state::closed);
    load.note_success(1ms);
    load.note_failure(at(0s));
    load.note_failure(at(0s));
    EXPECT_EQ(load.state(at(0s)), breaker_state::closed);
    load.note_failure(at(0s));
    EXPECT_EQ(load.state(at(0s)), breaker_state::open);
}

TEST(upstream_load, a_half_open_breaker_lets_one_request_through_and_doubles_its_pause)
{
    upstream_load load{breaker_settings{}};
    for (int failure = 0; failure < 3; ++failure) {
        load.note_failure(at(0s));
    }
    EXPECT_FALSE(load.is_available(at(999ms)));
    EXPECT_TRUE(load.is_available(at(1s)));
    load.note_sent();
    EXPECT_FALSE(load.is_available(at(1s)));
    load.note_failure(at(1s));
    load.note_finished();
    EXPECT_FALSE(load.is_available(at(2999ms)));
    EXPECT_TRUE(load.is_available(at(3s)));
    load.note_success(1ms);
    EXPECT_EQ(load.state(at(3s)), breaker_state::closed);
}

TEST(upstream_load, an_upstreams_own_wish_to_wait_is_honoured_at_once)
{
    upstream_load load{breaker_settings{}};
    load.note_retry_after(at(0s), 60s);
    EXPECT_FALSE(load.is_available(at(59s)));
    EXPECT_TRUE(load.is_available(at(60s)));
}

TEST(upstream_load, nothing_but_time_ends_a_wait_that_the_upstream_asked_for)
{
    upstream_load load{breaker_settings{}};
    load.note_retry_after(at(0s), 60s);
    load.note_success(1ms);
    EXPECT_FALSE(load.is_available(at(1s))) << "an answer to an earlier request says nothing of its wish";
    load.note_retry_after(at(1s), 2s);
    EXPECT_FALSE(load.is_available(at(59s)));
    EXPECT_TRUE(load.is_available(at(60s)));
}

TEST(upstream_load, an_old_report_is_dropped)
{
    upstream_load load{breaker_settings{}};
    load.note_report(at(0s), 9);
    EXPECT_EQ(load.expected_streams(at(4s)), 9U);
    EXPECT_EQ(load.expected_streams(at(5s)), 0U);
}

TEST(retry_budget, bounds_retries_to_a_share_of_first_attempts)
{
    retry_budget budget(0.2);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.note_first_attempt();
        retries += budget.take_retry() ? 1 : 0;
        budget.note_finished();
    }
    EXPECT_LE(retries, 211);
    EXPECT_GE(retries, 200);
}

TEST(retry_budget, lets_the_streams_of_one_upstream_move_and_not_those_of_a_whole_pool)
{
    retry_budget budget(0.2);
    constexpr int streams = 400;
    for (int stream = 0; stream < streams; ++stream) {
        budget.note_first_attempt();
    }
    int moved = 0;
    for (int stream = 0; stream < streams; ++stream) {
        moved += budget.take_retry() ? 1 : 0;
    }
    EXPECT_GE(moved, streams / 5);
    EXPECT_LE(moved, 10 + streams / 4);
}

} // namespace

} // namespace sailtiller
