// SPDX-License-Identifier: Apache-2.0
#include <base/memorybudget.h>

#include <gtest/gtest.h>

#include <memory>

namespace sailtiller {

namespace {

TEST(memory_budget_test, is_shared_by_all_that_hold_more_than_what_is_free)
{
    const auto budget = std::make_shared<memory_budget>(100);
    memory_share first(budget, 10);
    auto second = std::make_unique<memory_share>(budget, 10);
    EXPECT_TRUE(first.grow_to(10));
    EXPECT_EQ(budget->held(), 0U);
    EXPECT_TRUE(first.grow_to(70));
    EXPECT_TRUE(second->grow_to(50));
    EXPECT_EQ(budget->held(), 100U);
    EXPECT_FALSE(second->grow_to(51));
    EXPECT_EQ(budget->held(), 100U) << "what was refused takes nothing";
    second.reset();
    EXPECT_EQ(budget->held(), 60U);
    EXPECT_TRUE(first.grow_to(110));
    first.release();
    EXPECT_EQ(budget->held(), 0U);
}

// Guards against a host that crashes at its end, as its timers hold deliveries longer than it holds the
// budget.
TEST(memory_budget_test, lasts_as_long_as_its_shares)
{
    auto budget = std::make_shared<memory_budget>(100);
    const std::weak_ptr<memory_budget> kept = budget;
    {
        memory_share share(std::move(budget), 0);
        EXPECT_TRUE(share.grow_to(10));
        EXPECT_FALSE(kept.expired());
    }
    EXPECT_TRUE(kept.expired());
}

} // namespace

} // namespace sailtiller
