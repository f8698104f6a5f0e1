// SPDX-License-Identifier: Apache-2.0
#include <placement/layerplan.h>
#include <placement/layoutbalance.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

class layout_balance_test : public testing::Test
{
protected:
    layout_balance_test()
    {
        // A big card with eight layers has capacity for four tokens in each of them.
        this->profile.usual_prompt_tokens = 1;
        this->profile.usual_answer_tokens = 0;
    }

    void add(const std::string& id, const std::string& card, layer_span held)
    {
        this->engines.push_back(
            {.id = upstream_id(id), .data_hall = data_hall_id("x"), .card = card, .held = held});
    }

    /// Applies steps until there are none; returns the number of balancing runs.
    std::size_t balance_to_the_end()
    {
        constexpr std::size_t most_looks = 50;
        std::size_t looks = 0;
        for (; looks < most_looks; ++looks) {
            const std::vector<placement_step> steps = this->find_steps();
            if (steps.empty()) {
                break;
            }
            this->carry_out(steps);
        }
        return looks;
    }

    std::vector<placement_step> find_steps()
    {
        return balance_layout(this->profile, this->list(), this->capacity, this->limits);
    }

    void carry_out(const std::vector<placement_step>& steps)
    {
        for (const placement_step& step : steps) {
            for (placeable_engine& engine : this->engines) {
                engine.held = engine.id == step.id ? step.span : engine.held;
            }
        }
    }

    [[nodiscard]] engine_list list() const
    {
        engine_list all;
        for (const placeable_engine& engine : this->engines) {
            all.push_back(&engine);
        }
        return all;
    }

    [[nodiscard]] double weakest() const
    {
        return layout_rates(this->profile, this->list(), residence_ms).weakest();
    }

    static constexpr double residence_ms = 1000;
    engine_profile profile = tests::make_sample_profile();
    double capacity = 2; // tokens
    balance_limits limits;
    std::vector<placeable_engine> engines;
};

TEST_F(layout_balance_test, layer_rate_is_sum_over_its_holders)
{
    this->add("a", "big", {0, 8});
    const double one = layout_rates(this->profile, this->list(), residence_ms)
                           .overall_after(this->engines[0], {0, 8}, {0, 8});
    this->add("b", "big", {0, 8});
    this->profile.layers = 8;
    const layout_rates rates(this->profile, this->list(), residence_ms);
    EXPECT_NEAR(rates.weakest(), rates.overall(), 1e-9);
    EXPECT_GT(rates.weakest(), one);
    EXPECT_GT(rates.overall_after(this->engines[1], {0, 8}, {0, 4}), 0);
}

TEST_F(layout_balance_test, engine_with_too_many_layers_releases_shared_ones)
{
    this->add("a", "big", {0, 8});
    this->add("b", "big", {0, 8});
    this->add("crowded", "small", {8, 13});
    this->add("c", "big", {8, 16});
    const double before = this->weakest();
    this->balance_to_the_end();
    EXPECT_GT(this->weakest(), before);
    EXPECT_LT(this->engines[2].held.count(), 5U);
}

TEST_F(layout_balance_test, redundant_engine_moves_to_layers_with_lowest_rate)
{
    this->add("a", "big", {0, 8});
    this->add("b", "big", {0, 8});
    this->add("spare", "big", {0, 8});
    this->add("weak", "small", {8, 12});
    this->add("weak too", "small", {12, 16});
    const std::vector<placement_step> steps = this->find_steps();
    ASSERT_FALSE(steps.empty());
    EXPECT_EQ(steps.front().span, (layer_span{8, 16}));
}

TEST_F(layout_balance_test, last_two_holders_of_layer_0_stay)
{
    this->add("a", "big", {0, 8});
    this->add("b", "big", {0, 8});
    this->add("weak", "small", {8, 12});
    this->add("weak too", "small", {12, 16});
    this->balance_to_the_end();
    EXPECT_TRUE(this->engines[0].held.holds(0));
    EXPECT_TRUE(this->engines[1].held.holds(0));
}

TEST_F(layout_balance_test, steps_open_no_coverage_gap_and_end)
{
    this->add("a", "big", {0, 9});
    this->add("b", "big", {0, 4});
    this->add("c", "big", {4, 13});
    this->add("d", "small", {12, 16});
    this->add("e", "small", {9, 13});
    this->add("f", "big", {7, 16});
    for (int look = 0; look < 50; ++look) {
        const std::vector<placement_step> steps = this->find_steps();
        if (steps.empty()) {
            return;
        }
        for (const placement_step& step : steps) {
            this->carry_out({step});
            EXPECT_GT(this->weakest(), 0) << "look " << look;
        }
    }
    FAIL() << "the steps do not end";
}

TEST_F(layout_balance_test, request_slots_bound_the_rate_of_layer_0_alone)
{
    this->profile.layers = 8;
    this->add("a", "big", {0, 8});
    const double unbounded = this->weakest();
    const layout_rates rates(this->profile, this->list(), residence_ms, 1);
    EXPECT_NEAR(rates.weakest(), 1, 1e-9) << "one request a second";
    EXPECT_GT(unbounded, 1);
    EXPECT_NEAR(rates.mean(), (1 + 7 * unbounded) / 8, 1e-9);
}

TEST_F(layout_balance_test, heads_with_layers_of_their_own_stay_and_get_no_company)
{
    for (const char* id : {"a", "b", "c", "d"}) {
        this->add(id, "small", {0, 2});
    }
    this->add("crowded", "big", {2, 11});
    this->add("weak", "small", {11, 16});
    this->add("spare", "big", {2, 9});
    this->limits.head_slots = 1;
    this->balance_to_the_end();
    for (const placeable_engine& engine : this->engines) {
        EXPECT_EQ(engine.held.holds(0), engine.held == (layer_span{0, 2})) << engine.id;
    }
}

} // namespace

} // namespace sailtiller
