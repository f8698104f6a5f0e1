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

/// Pipe on which joined halls serve more than halls with little room, in the sample profile's cards.
constexpr double wide_pipe_mbps = 1e6;

class hall_groups_test : public testing::Test
{
protected:
    void add(const std::string& hall, const std::string& card, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            // Names of one hall don't follow each other.
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

    /// Carries the plan out and counts how often the layers of one copy go from hall to hall, at the least:
    /// the cheapest way over the layers, where a step to a holder in another hall costs one.
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

TEST_F(hall_groups_test, halls_that_hold_the_model_with_room_stand_alone)
{
    this->add("x", "big", 4);
    this->add("y", "big", 4);
    EXPECT_EQ(this->list_groups(), (groups{{"x"}, {"y"}}));
}

// Two big cards hold the 16 layers beside 25 requests, of which 30 are wanted. Apart they serve 757 requests
// a second each; joined, no more than the 109 whose prompts come through the pipe.
TEST_F(hall_groups_test, halls_with_little_room_stay_apart_where_the_pipe_carries_less)
{
    this->add("x", "big", 2);
    this->add("y", "big", 2);
    EXPECT_EQ(this->list_groups(), (groups{{"x"}, {"y"}}));
    EXPECT_EQ(this->count_least_crossings(), 0U);
}

TEST_F(hall_groups_test, halls_with_little_room_are_joined_over_a_wide_pipe)
{
    this->profile.hall_pipe_mbps = wide_pipe_mbps;
    this->add("x", "big", 2);
    this->add("y", "big", 2);
    EXPECT_EQ(this->list_groups(), (groups{{"x", "y"}}));
}

TEST_F(hall_groups_test, halls_that_do_not_hold_the_model_are_joined_by_as_few_as_suffice)
{
    this->add("strong", "big", 6);
    this->add("u", "big", 1);
    this->add("v", "big", 1);
    this->add("w", "big", 1);
    this->add("x", "big", 1);
    EXPECT_EQ(this->list_groups(), (groups{{"strong"}, {"u", "x"}, {"v", "w"}}));
}

TEST_F(hall_groups_test, the_largest_hall_takes_the_smallest_that_suffices)
{
    this->add("large", "big", 1);
    this->add("large", "small", 1); // 13 of 16 layers at the least
    this->add("middle", "big", 1);
    this->add("tiny", "small", 1);
    this->add("tiny2", "small", 2);
    EXPECT_EQ(this->list_groups(), (groups{{"large", "tiny"}, {"middle", "tiny2"}}));
}

TEST_F(hall_groups_test, what_is_left_over_stands_by_itself)
{
    this->add("x", "big", 4);
    this->add("y", "small", 1);
    EXPECT_EQ(this->list_groups(), (groups{{"x"}, {"y"}}));
}

TEST_F(hall_groups_test, a_copy_over_joined_halls_leaves_each_hall_once)
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

// Forty drawn deployments: a hall that holds the model beside three requests, whichever cards it has, needs
// no other one, and the joined ones cross no more often than they have halls.
TEST_F(hall_groups_test, drawn_deployments_cross_no_more_often_than_they_must)
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

TEST(group_rate_test, a_group_serves_the_least_of_room_reading_slots_and_pipe)
{
    engine_profile profile = make_sample_profile();
    const std::vector<placeable_engine> engines{
        {upstream_id("a"), data_hall_id("x"), "big", {}}, {upstream_id("b"), data_hall_id("y"), "big", {}}};
    const engine_list group{&engines[0], &engines[1]};
    // 80 tokens of 10,000 B each through seven tenths of 1,000 Mbit/s.
    EXPECT_NEAR(predict_group_rate(profile, group, 2), 0.7 * 1e9 / (80 * 10'000 * 8), 0.1);
    // 25 requests at once, each 0.8 ms of reading and 20 tokens of 1 ms and two hops of 0.3 ms.
    const double rate_by_capacity = 25 / 0.0328;
    EXPECT_NEAR(predict_group_rate(profile, group, 1), rate_by_capacity, rate_by_capacity / 100);
    profile.request_slots = 5;
    EXPECT_NEAR(predict_group_rate(profile, group, 1), rate_by_capacity / 5, rate_by_capacity / 100);
    profile.prompt_tokens_per_s = 1000; // each half of the layers reads for 40 ms
    profile.request_slots = 0;
    EXPECT_NEAR(predict_group_rate(profile, group, 1), 25, 0.1);
    EXPECT_EQ(predict_group_rate(profile, {group.front()}, 1), 0) << "half of the layers";
}

} // namespace

} // namespace sailtiller
