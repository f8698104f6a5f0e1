// SPDX-License-Identifier: Apache-2.0
#include <store/dutyholding.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

constexpr unsigned duty = 0;

TEST(duty_holding_test, a_host_holds_what_the_store_gave_it)
{
    duty_holding holding(1800ms);
    const time_point now{100s};
    EXPECT_FALSE(holding.find(duty, now));
    EXPECT_EQ(holding.generation(), group_generation(0));
    holding.take({group_generation(8), {duty}}, now);
    EXPECT_EQ(holding.find(duty, now), group_generation(8));
    EXPECT_FALSE(holding.find(1, now)) << "another duty";
    holding.take({group_generation(9), {}}, now);
    EXPECT_FALSE(holding.find(duty, now)) << "it passed to another host";
}

// What users could see: layers moved twice, as two hosts gave orders. Order of events: the host that gave the
// orders was cut off from the store for twelve seconds; another one took the duty over by its silence; the
// first, which lived on, went on under its old token 5.2 s after its last join. That nothing came of it is
// the engines' doing, which had seen the newer token 40 ms before. Cause: a membership was believed until the
// store said otherwise, which it can't to a host that is cut off.
TEST(duty_holding_test, a_host_that_the_store_no_longer_answers_gives_its_duty_up_by_itself)
{
    duty_holding holding(1800ms);
    const time_point asked{100s};
    holding.take({group_generation(8), {duty}}, asked);
    EXPECT_TRUE(holding.find(duty, asked + 1799ms));
    EXPECT_FALSE(holding.find(duty, asked + 1800ms));
    holding.take({group_generation(8), {duty}}, asked + 3s);
    EXPECT_TRUE(holding.find(duty, asked + 4s)) << "nobody else had come";
}

TEST(duty_holding_test, a_late_answer_counts_from_its_question)
{
    duty_holding holding(1800ms);
    const time_point asked{100s};
    holding.take({group_generation(8), {duty}}, asked);
    EXPECT_FALSE(holding.find(duty, asked + 2s)) << "however late the answer came";
}

} // namespace

} // namespace sailtiller
