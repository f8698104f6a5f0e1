// SPDX-License-Identifier: Apache-2.0
#include <admission/holdqueue.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class hold_queue_test : public testing::Test
{
protected:
    std::optional<hold_queue::ticket> hold(const std::string& name, const hold_order& order)
    {
        return this->queue.hold(
            order, [this, name] { this->tried.push_back(name); },
            [this, name] { this->left.push_back(name); });
    }

    void run_turn()
    {
        this->now += 25ms;
        this->timers.run_due(this->now);
    }

    time_point now{1s};
    timer_queue timers;
    hold_queue queue{make_timer_hooks(timers, [this] { return this->now; }), 25ms};
    std::vector<std::string> tried;
    std::vector<std::string> left;
};

TEST_F(hold_queue_test, tries_by_class_then_time_left_then_work)
{
    this->hold("low", {{2, 0, true}, this->now + 1s, 1});
    this->hold("large", {{1, 0, true}, this->now + 2s, 9});
    this->hold("small", {{1, 0, true}, this->now + 2s, 1});
    this->hold("urgent", {{1, 0, true}, this->now + 1s, 9});
    this->hold("returning", {{1, 0, false}, this->now + 9s, 9});
    this->run_turn();
    EXPECT_EQ(this->tried, (std::vector<std::string>{"returning", "urgent", "small"}));
}

TEST_F(hold_queue_test, stops_trying_removed_requests)
{
    const auto item = this->hold("a", {});
    this->queue.remove(*item);
    this->run_turn();
    EXPECT_TRUE(this->tried.empty());
    EXPECT_EQ(this->timers.size(), 0U);
}

TEST_F(hold_queue_test, a_full_queue_gives_up_its_last_request_for_one_that_goes_before_it)
{
    for (std::size_t number = 0; number < hold_queue::max_held; ++number) {
        this->hold(std::to_string(number), {{1, 0, true}, this->now + 1s, static_cast<double>(number)});
    }
    EXPECT_FALSE(this->hold("lower", {{2, 0, true}, this->now + 1s, 0}));
    EXPECT_TRUE(this->hold("higher", {{0, 0, true}, this->now + 1s, 0}));
    EXPECT_EQ(this->left, std::vector{std::to_string(hold_queue::max_held - 1)});
    EXPECT_EQ(this->queue.size(), hold_queue::max_held);
}

} // namespace

} // namespace sailtiller::tests
