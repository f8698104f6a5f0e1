// SPDX-License-Identifier: Apache-2.0
#include <base/memorybudget.h>

#include <gtest/gtest.h>

#include <memory>

namespace sailtiller {

namespace {

TEST(memory_budget_test, is_shared_by_all_that_hold_any)
{
    const auto budget = std::make_shared<memory_budget>(100);
    memory_share first(budget);
    auto second = std::make_unique<memory_share>(budget);
    EXPECT_TRUE(first.grow_to(10));
    EXPECT_EQ(budget->held(), 10U) << "every byte counts";
    EXPECT_TRUE(first.grow_to(60));
    EXPECT_TRUE(second->grow_to(40));
    EXPECT_EQ(budget->held(), 100U);
    EXPECT_FALSE(second->grow_to(41));
    EXPECT_EQ(budget->held(), 100U) << "what was refused takes nothing";
    second.reset();
    EXPECT_EQ(budget->held(), 60U);
    EXPECT_TRUE(first.grow_to(100));
    first.release();
    EXPECT_EQ(budget->held(), 0U);
}

// Guards against a host whose large holders lock out the small ones, and against small ones without a bound.
TEST(memory_budget_test, leaves_its_last_part_to_small_holders)
{
    constexpr std::size_t large = 10 * small_share_bytes;
    const auto budget = std::make_shared<memory_budget>(large + 2 * small_share_bytes, 2 * small_share_bytes);
    memory_share first(budget);
    EXPECT_TRUE(first.grow_to(large));
    EXPECT_FALSE(first.grow_to(large + 1));
    memory_share second(budget);
    memory_share third(budget);
    memory_share fourth(budget);
    EXPECT_TRUE(second.grow_to(small_share_bytes));
    EXPECT_FALSE(second.grow_to(small_share_bytes + 1)) << "it would be a large one";
    EXPECT_TRUE(third.grow_to(small_share_bytes));
    EXPECT_FALSE(fourth.grow_to(1)) << "small ones count too";
}

TEST(memory_budget_test, counts_what_is_held_already_beyond_its_end)
{
    const auto budget = std::make_shared<memory_budget>(100);
    memory_share first(budget);
    first.set(150);
    EXPECT_EQ(budget->held(), 150U);
    memory_share second(budget);
    EXPECT_FALSE(second.grow_to(1));
    first.set(20);
    EXPECT_TRUE(second.grow_to(80));
}

// Guards against a host that crashes at its end, as its timers hold deliveries longer than it holds the
// budget.
TEST(memory_budget_test, lasts_as_long_as_its_shares)
{
    auto budget = std::make_shared<memory_budget>(100);
    const std::weak_ptr<memory_budget> kept = budget;
    {
        memory_share share(std::move(budget));
        EXPECT_TRUE(share.grow_to(10));
        EXPECT_FALSE(kept.expired());
    }
    EXPECT_TRUE(kept.expired());
}

} // namespace

} // namespace sailtiller
