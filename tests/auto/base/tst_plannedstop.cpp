// SPDX-License-Identifier: Apache-2.0
#include <base/plannedstop.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class planned_stop_test : public testing::Test
{
protected:
    time_point now{1000s};
    planned_stop stop;
};

TEST_F(planned_stop_test, no_grace_is_over_while_the_host_is_not_told_to_stop)
{
    EXPECT_FALSE(this->stop.is_grace_over(this->now));
}

TEST_F(planned_stop_test, the_grace_is_over_after_its_time)
{
    this->stop.begin(this->now, 3s, 8s);
    EXPECT_FALSE(this->stop.is_grace_over(this->now));
    EXPECT_FALSE(this->stop.is_grace_over(this->now + 2999ms));
    EXPECT_TRUE(this->stop.is_grace_over(this->now + 3s));
}

TEST_F(planned_stop_test, there_is_time_for_what_ends_before_the_last_answers_go_out)
{
    EXPECT_TRUE(this->stop.has_time_for(60s, this->now));
    this->stop.begin(this->now, 3s, 8s);
    EXPECT_TRUE(this->stop.has_time_for(1s, this->now + 7s));
    EXPECT_FALSE(this->stop.has_time_for(1s, this->now + 7001ms));
}

TEST_F(planned_stop_test, a_stop_without_grace_takes_nothing_from_the_signal_on)
{
    this->stop.begin(this->now, 0s, 8s);
    EXPECT_TRUE(this->stop.is_grace_over(this->now));
}

TEST_F(planned_stop_test, what_is_cut_off_is_told_with_its_length_and_when_it_was_taken)
{
    const time_point early = this->now;
    this->now += 2s;
    this->stop.begin(this->now, 3s, 8s);
    this->now += 1500ms;
    const time_point late = this->now;
    this->now += 6100ms;
    EXPECT_EQ(this->stop.describe_cut(early, this->now),
        "this host stops; it ran for 9600 ms and was taken before the signal");
    EXPECT_EQ(this->stop.describe_cut(late, this->now),
        "this host stops; it ran for 6100 ms and was taken 1500 ms after the signal");
}

} // namespace

} // namespace sailtiller::tests
