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

TEST(upstream_load, three_consecutive_failures_open_breaker)
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

TEST(upstream_load, half_open_breaker_admits_one_request_and_doubles_pause_on_failure)
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

TEST(upstream_load, retry_after_excludes_upstream_at_once)
{
    upstream_load load{breaker_settings{}};
    load.note_retry_after(at(0s), 60s);
    EXPECT_FALSE(load.is_available(at(59s)));
    EXPECT_TRUE(load.is_available(at(60s)));
}

TEST(upstream_load, retry_after_ends_by_time_alone)
{
    upstream_load load{breaker_settings{}};
    load.note_retry_after(at(0s), 60s);
    load.note_success(1ms);
    EXPECT_FALSE(load.is_available(at(1s))) << "an answer to an earlier request does not end a Retry-After";
    load.note_retry_after(at(1s), 2s);
    EXPECT_FALSE(load.is_available(at(59s)));
    EXPECT_TRUE(load.is_available(at(60s)));
}

TEST(upstream_load, old_report_is_ignored)
{
    upstream_load load{breaker_settings{}};
    load.note_report(at(0s), 9);
    EXPECT_EQ(load.expected_streams(at(4s)), 9U);
    EXPECT_EQ(load.expected_streams(at(5s)), 0U);
}

TEST(retry_budget, limits_retries_to_ratio_of_first_attempts)
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

TEST(retry_budget, allows_retries_for_one_dead_upstream_but_not_whole_pool)
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
