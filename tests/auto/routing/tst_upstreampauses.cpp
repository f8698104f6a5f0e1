// SPDX-License-Identifier: Apache-2.0
#include <routing/upstreampauses.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

const upstream_id first("first");
const upstream_id second("second");
constexpr time_point start{1000s};

TEST(upstream_pauses_test, a_pause_lasts_as_long_as_was_asked)
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

TEST(upstream_pauses_test, a_shorter_wish_ends_none_that_is_longer)
{
    upstream_pauses pauses;
    pauses.note(first, 3s, start);
    pauses.note(first, 1s, start + 1s);
    EXPECT_EQ(pauses.end_of(first, start + 1s), start + 3s);
    pauses.note(first, 3s, start + 2s);
    EXPECT_EQ(pauses.end_of(first, start + 2s), start + 5s);
}

TEST(upstream_pauses_test, what_is_over_is_forgotten)
{
    upstream_pauses pauses;
    pauses.note(first, 1s, start);
    pauses.note(second, 2s, start);
    pauses.remove_expired(start + 1s);
    EXPECT_FALSE(pauses.is_empty());
    pauses.remove_expired(start + 2s);
    EXPECT_TRUE(pauses.is_empty());
}

TEST(upstream_pauses_test, a_pause_beyond_all_bounds_counts_as_the_longest)
{
    upstream_pauses pauses({.longest_pause = 60s});
    pauses.note(first, duration::max(), start);
    EXPECT_EQ(pauses.end_of(first, start), start + 60s);
}

TEST(upstream_pauses_test, beyond_its_bound_the_pause_that_ends_first_makes_room)
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
