// SPDX-License-Identifier: Apache-2.0
#include <base/timerqueue.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

TEST(timer_queue, runs_what_is_due_in_order)
{
    timer_queue queue;
    std::vector<int> ran;
    queue.schedule(time_point(2ms), [&ran] { ran.push_back(2); });
    queue.schedule(time_point(1ms), [&ran] { ran.push_back(1); });
    queue.schedule(time_point(3ms), [&ran] { ran.push_back(3); });
    queue.run_due(time_point(2ms));
    EXPECT_EQ(ran, (std::vector<int>{1, 2}));
    EXPECT_EQ(queue.next_due(), time_point(3ms));
}

TEST(timer_queue, a_cancelled_timer_does_not_run)
{
    timer_queue queue;
    bool has_run = false;
    const timer_id timer = queue.schedule(time_point(1ms), [&has_run] { has_run = true; });
    queue.cancel(timer);
    queue.cancel(timer);
    queue.run_due(time_point(5ms));
    EXPECT_FALSE(has_run);
    EXPECT_EQ(queue.size(), 0U);
}

TEST(timer_queue, a_timer_may_cancel_and_schedule_others)
{
    timer_queue queue;
    int ran = 0;
    timer_id second = 0;
    queue.schedule(time_point(1ms), [&] {
        queue.cancel(second);
        queue.schedule(time_point(1ms), [&ran] { ++ran; });
    });
    second = queue.schedule(time_point(1ms), [&ran] { ran += 100; });
    queue.run_due(time_point(1ms));
    EXPECT_EQ(ran, 1);
}

} // namespace

} // namespace sailtiller
