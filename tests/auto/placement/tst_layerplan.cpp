// SPDX-License-Identifier: Apache-2.0
#include <placement/layerplan.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace sailtiller {

namespace {

using tests::make_sample_profile;

placeable_engine make_engine(
    const std::string& id, const std::string& hall, const std::string& card, layer_span held = {})
{
    return {upstream_id(id), data_hall_id(hall), card, held};
}

/// The engines after the steps.
std::vector<placeable_engine> carry_out(
    std::vector<placeable_engine> engines, const std::vector<placement_step>& steps)
{
    for (const placement_step& step : steps) {
        for (placeable_engine& engine : engines) {
            engine.held = engine.id == step.id ? step.span : engine.held;
        }
    }
    return engines;
}

class layer_plan_test : public testing::Test
{
protected:
    std::vector<placeable_engine> plan(const std::vector<placeable_engine>& engines)
    {
        this->steps = plan_layers(this->profile, engines, this->aim);
        return carry_out(engines, this->steps);
    }

    [[nodiscard]] unsigned least_holders(const std::vector<placeable_engine>& engines) const
    {
        const std::vector<unsigned> holders = count_holders(this->profile, engines);
        return *std::min_element(holders.begin(), holders.end());
    }

    engine_profile profile = make_sample_profile();
    placement_aim aim{.copies = 1.25, .min_requests = 2, .min_requests_at_coverage_gap = 1};
    std::vector<placement_step> steps;
};

TEST_F(layer_plan_test, empty_engines_get_every_layer_in_each_hall)
{
    std::vector<placeable_engine> engines;
    for (const char* hall : {"x", "y"}) {
        for (int number = 0; number < 2; ++number) {
            engines.push_back(make_engine(hall + std::to_string(number), hall, "big"));
            engines.push_back(make_engine(hall + std::to_string(number) + "s", hall, "small"));
        }
    }
    engines = this->plan(engines);
    for (const char* hall : {"x", "y"}) {
        std::vector<placeable_engine> own = engines;
        std::erase_if(
            own, [hall](const placeable_engine& engine) { return engine.data_hall.value() != hall; });
        EXPECT_GE(this->least_holders(own), 1U) << hall;
    }
}

TEST_F(layer_plan_test, spans_leave_minimum_capacity_on_each_card)
{
    const std::vector<placeable_engine> engines = this->plan({make_engine("a", "x", "big"),
        make_engine("b", "x", "big"), make_engine("c", "x", "small"), make_engine("d", "x", "small")});
    for (const placeable_engine& engine : engines) {
        const card_kind& card = this->profile.kinds.at(engine.card);
        const double capacity = this->aim.min_requests * 100 * this->profile.token_layer_mb();
        EXPECT_LE(engine.held.count() * (this->profile.layer_mb + capacity), card.memory_mb) << engine.id;
    }
}

TEST_F(layer_plan_test, small_halls_share_one_copy)
{
    const std::vector<placeable_engine> engines =
        this->plan({make_engine("a", "x", "big"), make_engine("b", "y", "big")});
    EXPECT_EQ(this->least_holders(engines), 1U);
}

TEST_F(layer_plan_test, empty_engine_gets_coverage_gap)
{
    const std::vector<placeable_engine> engines = this->plan({make_engine("a", "x", "big", {0, 8}),
        make_engine("b", "x", "big", {8, 13}), make_engine("c", "x", "small")});
    EXPECT_GE(this->least_holders(engines), 1U);
    ASSERT_EQ(this->steps.size(), 1U);
    EXPECT_EQ(this->steps[0].id.value(), "c");
}

TEST_F(layer_plan_test, coverage_gap_is_closed_by_adjacent_holders)
{
    const std::vector<placeable_engine> engines = this->plan({make_engine("a", "x", "big", {0, 7}),
        make_engine("b", "x", "big", {9, 16}), make_engine("c", "x", "small", {0, 3})});
    EXPECT_GE(this->least_holders(engines), 1U);
    for (const placement_step& step : this->steps) {
        EXPECT_NE(step.id.value(), "c") << "moved although adjacent holders had capacity";
    }
}

TEST_F(layer_plan_test, redundant_holder_moves_if_adjacent_ones_lack_capacity)
{
    const std::vector<placeable_engine> engines =
        this->plan({make_engine("a", "x", "big", {0, 8}), make_engine("b", "x", "big", {8, 13}),
            make_engine("c", "x", "small", {0, 4}), make_engine("d", "x", "small", {4, 8})});
    EXPECT_GE(this->least_holders(engines), 1U);
}

TEST_F(layer_plan_test, holder_without_layer_0_moves_first)
{
    // No adjacent holder can take the gap, and one small engine suffices for it.
    this->plan({make_engine("a", "x", "big", {0, 8}), make_engine("b", "x", "big", {8, 12}),
        make_engine("c", "x", "small", {0, 4}), make_engine("d", "x", "small", {4, 8}),
        make_engine("e", "x", "small", {15, 16})});
    ASSERT_FALSE(this->steps.empty());
    for (const placement_step& step : this->steps) {
        EXPECT_NE(step.id.value(), "c");
    }
}

TEST_F(layer_plan_test, last_holder_keeps_its_layer)
{
    const std::vector<placeable_engine> before = {
        make_engine("a", "x", "big", {0, 9}), make_engine("b", "x", "small", {12, 16})};
    const std::vector<unsigned> had = count_holders(this->profile, before);
    const std::vector<unsigned> has = count_holders(this->profile, this->plan(before));
    for (std::size_t layer = 0; layer < had.size(); ++layer) {
        EXPECT_GE(has[layer], std::min(had[layer], 1U)) << layer;
    }
}

TEST_F(layer_plan_test, layers_beyond_the_model_are_ignored)
{
    // Entries come from the engines and may be wrong; the plan covers the 16 layers of the model.
    this->plan({make_engine("a", "x", "big", {4, 40}), make_engine("b", "x", "big", {4, 16}),
        make_engine("c", "x", "big", {4, 16})});
    for (const placement_step& step : this->steps) {
        EXPECT_LE(step.span.end, this->profile.layers);
    }
    EXPECT_FALSE(this->steps.empty()) << "layers 0 to 4 have no holder";
}

TEST_F(layer_plan_test, complete_layout_is_unchanged)
{
    this->plan({make_engine("a", "x", "big", {0, 8}), make_engine("b", "x", "big", {8, 16}),
        make_engine("c", "x", "small", {0, 4})});
    EXPECT_TRUE(this->steps.empty());
}

TEST_F(layer_plan_test, unknown_card_gets_no_layers)
{
    this->plan({make_engine("a", "x", "big"), make_engine("b", "x", "big"), make_engine("c", "x", "odd")});
    for (const placement_step& step : this->steps) {
        EXPECT_NE(step.id.value(), "c");
    }
}

TEST_F(layer_plan_test, many_engines_hold_more_copies_instead_of_shorter_spans)
{
    constexpr int count = 160;
    std::vector<placeable_engine> engines;
    engines.reserve(count);
    for (int number = 0; number < count; ++number) {
        engines.push_back(make_engine(std::to_string(number), "x", "big"));
    }
    this->aim.max_stages = 4;
    for (const placeable_engine& engine : this->plan(engines)) {
        EXPECT_GE(engine.held.count(), 4U);
    }
}

TEST_F(layer_plan_test, first_copy_is_on_cheapest_cards)
{
    // Steps are slightly faster on the small cards, but their short spans cause many hops.
    this->profile.kinds["small"].step_factor = 0.95 * this->profile.kinds["big"].step_factor;
    std::vector<placeable_engine> engines{make_engine("a", "x", "big"), make_engine("b", "x", "big"),
        make_engine("c", "x", "small"), make_engine("d", "x", "small")};
    engines = this->plan(engines);
    EXPECT_EQ(engines[0].held.begin, 0U);
    EXPECT_EQ(engines[1].held.begin, engines[0].held.end);
}

TEST_F(layer_plan_test, empty_engine_doubles_layers_of_slow_ones)
{
    // Every layer has one holder; the holders of the second half are slow.
    const std::vector<placeable_engine> engines = this->plan({make_engine("a", "x", "big", {0, 8}),
        make_engine("b", "x", "small", {8, 12}), make_engine("c", "x", "small", {12, 16}),
        make_engine("d", "x", "small", {0, 4}), make_engine("new", "x", "big")});
    EXPECT_GE(engines[4].held.begin, 8U);
}

TEST_F(layer_plan_test, every_layer_has_holder_after_single_loss)
{
    std::vector<placeable_engine> engines;
    for (int number = 0; number < 4; ++number) {
        engines.push_back(make_engine("big" + std::to_string(number), "x", "big"));
        engines.push_back(make_engine("small" + std::to_string(number), "x", "small"));
    }
    engines = this->plan(engines);
    for (std::size_t lost = 0; lost < engines.size(); ++lost) {
        std::vector<placeable_engine> left = engines;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        EXPECT_GE(this->least_holders(this->plan(left)), 1U) << engines[lost].id;
    }
}

// A hall that holds the 16 layers with little capacity loses three of its four engines, which come back one
// after the other. If the first ones take shares as if the others were gone, a layer is left without a
// holder.
TEST_F(layer_plan_test, engines_returning_one_by_one_cover_every_layer)
{
    this->aim.min_requests = 30;
    std::vector<placeable_engine> engines{
        make_engine("a", "x", "big"), make_engine("b", "x", "small"), make_engine("c", "x", "small")};
    engines = this->plan(engines);
    ASSERT_EQ(this->least_holders(engines), 1U);
    for (std::size_t lost = 0; lost < 2; ++lost) {
        engines[lost].held = {};
        engines[lost].is_absent = true;
    }
    engines = this->plan(engines);
    EXPECT_TRUE(this->steps.empty());
    for (std::size_t back = 0; back < 2; ++back) {
        engines[back].is_absent = false;
        engines = this->plan(engines);
    }
    EXPECT_EQ(this->least_holders(engines), 1U);
}

} // namespace

} // namespace sailtiller
