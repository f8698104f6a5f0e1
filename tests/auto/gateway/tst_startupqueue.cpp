// SPDX-License-Identifier: Apache-2.0
#include <gateway/startupqueue.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

class startup_queue_test : public testing::Test
{
protected:
    bool hold(int number)
    {
        return this->early.hold([this, number] { this->served.push_back(number); },
            [this, number] { this->refused.push_back(number); });
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now = std::min(end, this->now + 10ms);
            this->timers.run_due(this->now);
        }
    }

    time_point now{100s};
    timer_queue timers;
    startup_queue early{make_timer_hooks(this->timers, [this] { return this->now; }),
        [this] { return this->is_ready; }, {1500ms, 3, 20ms}};
    bool is_ready = false;
    std::vector<int> served;
    std::vector<int> refused;
};

TEST_F(startup_queue_test, serves_queued_requests_in_order_once_ready)
{
    EXPECT_TRUE(this->hold(1));
    this->pass(400ms);
    EXPECT_TRUE(this->hold(2));
    EXPECT_EQ(this->early.count(), 2U);
    this->pass(20ms);
    EXPECT_TRUE(this->served.empty());
    this->is_ready = true;
    this->pass(20ms);
    EXPECT_EQ(this->served, (std::vector{1, 2}));
    EXPECT_EQ(this->early.count(), 0U);
    this->pass(10s);
    EXPECT_TRUE(this->refused.empty());
}

TEST_F(startup_queue_test, refuses_queued_requests_after_the_maximum_wait)
{
    this->pass(1s);
    EXPECT_TRUE(this->hold(1));
    this->pass(490ms);
    EXPECT_TRUE(this->refused.empty());
    this->pass(30ms);
    EXPECT_EQ(this->refused, std::vector{1});
    EXPECT_FALSE(this->hold(2)) << "the store seems to be away";
    this->is_ready = true;
    this->pass(1s);
    EXPECT_TRUE(this->served.empty());
}

TEST_F(startup_queue_test, refuses_requests_above_the_queue_limit)
{
    for (int number = 0; number < 3; ++number) {
        EXPECT_TRUE(this->hold(number));
    }
    EXPECT_FALSE(this->hold(3));
    this->early.refuse_all();
    EXPECT_EQ(this->refused, (std::vector{0, 1, 2}));
}

} // namespace

} // namespace sailtiller
