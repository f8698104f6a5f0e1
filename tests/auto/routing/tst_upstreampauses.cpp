// SPDX-License-Identifier: Apache-2.0
#include <routing/upstreampauses.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

const upstream_id first("first");
const upstream_id second("second");
constexpr time_point start{1000s};

TEST(upstream_pauses_test, pause_lasts_for_requested_time)
{
    upstream_pauses pauses;
    EXPECT_TRUE(pauses.is_empty());
    pauses.note(first, 3s, start);
    EXPECT_TRUE(pauses.is_paused(first, start));
    EXPECT_TRUE(pauses.is_paused(first, start + 2999ms));
    EXPECT_FALSE(pauses.is_paused(first, start + 3s));
    EXPECT_FALSE(pauses.is_paused(second, start));
    EXPECT_EQ(pauses.paused_count(start), 1U);
    EXPECT_EQ(pauses.paused_count(start + 3s), 0U);
}

TEST(upstream_pauses_test, shorter_pause_does_not_end_longer_one)
{
    upstream_pauses pauses;
    pauses.note(first, 3s, start);
    pauses.note(first, 1s, start + 1s);
    EXPECT_EQ(pauses.end_of(first, start + 1s), start + 3s);
    pauses.note(first, 3s, start + 2s);
    EXPECT_EQ(pauses.end_of(first, start + 2s), start + 5s);
}

TEST(upstream_pauses_test, expired_pauses_are_removed)
{
    upstream_pauses pauses;
    pauses.note(first, 1s, start);
    pauses.note(second, 2s, start);
    pauses.remove_expired(start + 1s);
    EXPECT_FALSE(pauses.is_empty());
    pauses.remove_expired(start + 2s);
    EXPECT_TRUE(pauses.is_empty());
}

TEST(upstream_pauses_test, excessive_pause_is_cut_to_longest)
{
    upstream_pauses pauses({.longest_pause = 60s});
    pauses.note(first, duration::max(), start);
    EXPECT_EQ(pauses.end_of(first, start), start + 60s);
}

TEST(upstream_pauses_test, full_list_drops_pause_that_ends_first)
{
    upstream_pauses pauses({.most_records = 2});
    pauses.note(upstream_id("short"), 1s, start);
    pauses.note(upstream_id("long"), 9s, start);
    pauses.note(upstream_id("new"), 3s, start);
    EXPECT_FALSE(pauses.is_paused(upstream_id("short"), start));
    EXPECT_TRUE(pauses.is_paused(upstream_id("long"), start));
    EXPECT_TRUE(pauses.is_paused(upstream_id("new"), start));
}

} // namespace

} // namespace sailtiller::tests
