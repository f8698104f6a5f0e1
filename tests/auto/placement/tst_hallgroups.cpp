// SPDX-License-Identifier: Apache-2.0
#include <placement/hallgroups.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace sailtiller {

namespace {

using tests::make_sample_profile;

/// Pipe with which joined halls serve more than halls with little capacity, for the cards of the sample
/// profile.
constexpr double wide_pipe_mbps = 1e6;

class hall_groups_test : public testing::Test
{
protected:
    void add(const std::string& hall, const std::string& card, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            // Ids of engines of one hall are not adjacent.
            const std::string id = "e" + std::to_string(this->engines.size());
            this->engines.push_back({upstream_id(id), data_hall_id(hall), card, {}});
        }
    }

    /// The halls of each group, in the order of their names.
    [[nodiscard]] std::vector<std::set<std::string>> list_groups() const
    {
        std::vector<std::set<std::string>> groups;
        for (const engine_list& group : split_into_hall_groups(this->profile, this->engines, this->aim)) {
            std::set<std::string>& halls = groups.emplace_back();
            for (const placeable_engine* engine : group) {
                halls.insert(engine->data_hall.value());
            }
        }
        std::sort(groups.begin(), groups.end());
        return groups;
    }

    /// Applies the plan and returns the minimum number of hall crossings of a path over all layers: the
    /// cheapest path, where a step to a holder in another hall costs one.
    [[nodiscard]] unsigned count_least_crossings() const
    {
        std::vector<placeable_engine> placed = this->engines;
        for (const placement_step& step : plan_layers(this->profile, this->engines, this->aim)) {
            for (placeable_engine& engine : placed) {
                engine.held = engine.id == step.id ? step.span : engine.held;
            }
        }
        constexpr unsigned unreachable = 1000;
        std::map<data_hall_id, unsigned> cost;
        for (unsigned layer = 0; layer < this->profile.layers; ++layer) {
            unsigned least = unreachable;
            for (const auto& [hall, crossings] : cost) {
                least = std::min(least, crossings);
            }
            std::map<data_hall_id, unsigned> next;
            for (const placeable_engine& engine : placed) {
                if (engine.held.holds(layer)) {
                    const auto stay = cost.find(engine.data_hall);
                    const unsigned own = stay == cost.end() ? unreachable : stay->second;
                    next[engine.data_hall] = layer == 0 ? 0 : std::min(own, least + 1);
                }
            }
            cost = next;
        }
        unsigned least = unreachable;
        for (const auto& [hall, crossings] : cost) {
            least = std::min(least, crossings);
        }
        return least;
    }

    using groups = std::vector<std::set<std::string>>;

    engine_profile profile = make_sample_profile();
    placement_aim aim{.copies = 1.25, .min_requests = 30, .min_requests_at_coverage_gap = 30};
    std::vector<placeable_engine> engines;
};

TEST_F(hall_groups_test, hall_with_enough_capacity_forms_own_group)
{
    this->add("x", "big", 4);
    this->add("y", "big", 4);
    EXPECT_EQ(this->list_groups(), (groups{{"x"}, {"y"}}));
}

// Two big cards hold the 16 layers with capacity for 25 requests, below the aim of 30. Separate halls serve
// 757 requests per second each; joined halls serve at most the 109 whose prompts fit through the pipe.
TEST_F(hall_groups_test, small_halls_stay_separate_over_narrow_pipe)
{
    this->add("x", "big", 2);
    this->add("y", "big", 2);
    EXPECT_EQ(this->list_groups(), (groups{{"x"}, {"y"}}));
    EXPECT_EQ(this->count_least_crossings(), 0U);
}

TEST_F(hall_groups_test, small_halls_are_joined_over_wide_pipe)
{
    this->profile.hall_pipe_mbps = wide_pipe_mbps;
    this->add("x", "big", 2);
    this->add("y", "big", 2);
    EXPECT_EQ(this->list_groups(), (groups{{"x", "y"}}));
}

TEST_F(hall_groups_test, halls_without_whole_model_are_joined_with_fewest_others)
{
    this->add("strong", "big", 6);
    this->add("u", "big", 1);
    this->add("v", "big", 1);
    this->add("w", "big", 1);
    this->add("x", "big", 1);
    EXPECT_EQ(this->list_groups(), (groups{{"strong"}, {"u", "x"}, {"v", "w"}}));
}

TEST_F(hall_groups_test, largest_hall_is_joined_with_smallest_sufficient_one)
{
    this->add("large", "big", 1);
    this->add("large", "small", 1); // at least 13 of 16 layers
    this->add("middle", "big", 1);
    this->add("tiny", "small", 1);
    this->add("tiny2", "small", 2);
    EXPECT_EQ(this->list_groups(), (groups{{"large", "tiny"}, {"middle", "tiny2"}}));
}

TEST_F(hall_groups_test, remaining_hall_forms_own_group)
{
    this->add("x", "big", 4);
    this->add("y", "small", 1);
    EXPECT_EQ(this->list_groups(), (groups{{"x"}, {"y"}}));
}

TEST_F(hall_groups_test, copy_over_joined_halls_leaves_each_hall_once)
{
    for (int round = 0; round < 4; ++round) {
        this->add("x", "small", 1);
        this->add("y", "small", 1);
        this->add("z", "small", 1);
    }
    this->profile.layers = 33; // two halls hold 32
    EXPECT_EQ(this->list_groups(), (groups{{"x", "y", "z"}}));
    EXPECT_LE(this->count_least_crossings(), 2U);
}

// Forty random deployments: a hall that holds the model with capacity for three requests needs no other hall,
// and paths of joined halls cross at most as often as there are halls.
TEST_F(hall_groups_test, random_deployments_have_minimal_hall_crossings)
{
    constexpr unsigned drawn = 40;
    for (unsigned seed = 0; seed < drawn; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](unsigned count) { return static_cast<unsigned>(random() % count); };
        this->engines.clear();
        const unsigned halls = 1 + draw(5);
        bool is_any_whole = false;
        for (unsigned hall = 0; hall < halls; ++hall) {
            const unsigned big = draw(4);
            const unsigned small = draw(4);
            this->add("h" + std::to_string(hall), "big", big);
            this->add("h" + std::to_string(hall), "small", small);
            is_any_whole = is_any_whole || big * 9 + small * 4 >= this->profile.layers;
        }
        const unsigned most = is_any_whole ? 0 : halls - 1;
        const unsigned crossings = this->count_least_crossings();
        constexpr unsigned nobody_holds_all = 1000;
        if (crossings < nobody_holds_all) {
            EXPECT_LE(crossings, most) << "seed " << seed;
        } else {
            EXPECT_FALSE(is_any_whole) << "seed " << seed;
        }
    }
}

TEST(group_rate_test, group_rate_is_minimum_of_capacity_prompts_slots_and_pipe)
{
    engine_profile profile = make_sample_profile();
    const std::vector<placeable_engine> engines{
        {upstream_id("a"), data_hall_id("x"), "big", {}}, {upstream_id("b"), data_hall_id("y"), "big", {}}};
    const engine_list group{&engines[0], &engines[1]};
    // 80 tokens of 10,000 B each through 0.7 of 1,000 Mbit/s.
    EXPECT_NEAR(predict_group_rate(profile, group, 2), 0.7 * 1e9 / (80 * 10'000 * 8), 0.1);
    // 25 concurrent requests, each with 0.8 ms of prompt processing and 20 tokens of 1 ms plus two hops of
    // 0.3 ms.
    const double rate_by_capacity = 25 / 0.0328;
    EXPECT_NEAR(predict_group_rate(profile, group, 1), rate_by_capacity, rate_by_capacity / 100);
    profile.request_slots = 5;
    EXPECT_NEAR(predict_group_rate(profile, group, 1), rate_by_capacity / 5, rate_by_capacity / 100);
    profile.prompt_tokens_per_s = 1000; // each half of the layers processes the prompt in 40 ms
    profile.request_slots = 0;
    EXPECT_NEAR(predict_group_rate(profile, group, 1), 25, 0.1);
    EXPECT_EQ(predict_group_rate(profile, {group.front()}, 1), 0) << "holds half of the layers";
}

} // namespace

} // namespace sailtiller
