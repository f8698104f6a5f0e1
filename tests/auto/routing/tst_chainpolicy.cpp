// SPDX-License-Identifier: Apache-2.0
#include <routing/chainpolicy.h>
#include <support/samplebundle.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

class every_policy : public testing::TestWithParam<policy_kind>
{
protected:
    bundle content = tests::make_sample_bundle({.layers = 12, .stages = 3, .holders_of_a_stage = 4});
    load_table loads;
    routing_table table{this->content, host_id("host"), this->loads};
    chain_policy policy = make_chain_policy(GetParam(), make_seeded_random(7));
    const model_routes& routes = *this->table.routes_of(model_id("model-0"));

    static upstream_id holder(int stage, int number)
    {
        return upstream_id("model-0/stage-" + std::to_string(stage) + "/holder-" + std::to_string(number));
    }
};

TEST_P(every_policy, chosen_chain_covers_each_layer_once)
{
    for (int round = 0; round < 100; ++round) {
        const std::optional<chain> chosen = this->policy(this->routes, {time_point(), {}});
        ASSERT_TRUE(chosen);
        EXPECT_TRUE(is_whole_chain(*chosen, 12));
    }
}

TEST_P(every_policy, avoids_failed_and_leaving_upstreams)
{
    this->loads.load_of(holder(1, 2))->set_leaving(true);
    for (int round = 0; round < 100; ++round) {
        const std::optional<chain> chosen = this->policy(this->routes, {time_point(), {holder(0, 0)}});
        ASSERT_TRUE(chosen);
        for (const stage_option& stage : *chosen) {
            EXPECT_NE(stage.holder, holder(0, 0));
            EXPECT_NE(stage.holder, holder(1, 2));
        }
    }
}

TEST_P(every_policy, finds_no_chain_when_stage_has_no_usable_holder)
{
    std::set<upstream_id> avoid;
    for (int number = 0; number < 4; ++number) {
        avoid.insert(holder(1, number));
    }
    EXPECT_FALSE(this->policy(this->routes, {time_point(), avoid}));
}

TEST_P(every_policy, finds_no_chain_until_retry_after_of_all_holders_ends)
{
    for (int number = 0; number < 4; ++number) {
        this->loads.load_of(holder(1, number))->note_retry_after(time_point(), 3s);
    }
    EXPECT_FALSE(this->policy(this->routes, {time_point() + 2s, {}}));
    EXPECT_TRUE(this->policy(this->routes, {time_point() + 3s, {}}));
}

TEST_P(every_policy, uses_open_breakers_when_no_other_chain_exists)
{
    for (int number = 0; number < 4; ++number) {
        for (int failure = 0; failure < 3; ++failure) {
            this->loads.load_of(holder(1, number))->note_failure(time_point());
        }
    }
    EXPECT_TRUE(this->policy(this->routes, {time_point(), {}}));
}

INSTANTIATE_TEST_SUITE_P(routing, every_policy,
    testing::Values(policy_kind::round_robin, policy_kind::least_in_flight, policy_kind::least_time));

TEST(least_time, prefers_idle_slow_holder_to_full_fast_one)
{
    const bundle content = tests::make_sample_bundle({.holders_of_a_stage = 2});
    load_table loads;
    const routing_table table(content, host_id("host"), loads);
    const chain_policy policy = make_chain_policy(policy_kind::least_time, make_seeded_random(1));
    const chain_request request{time_point(), {}};
    const model_routes& routes = *table.routes_of(model_id("model-0"));
    EXPECT_EQ((*policy(routes, request))[0].holder, upstream_id("model-0/stage-0/holder-0"));
    for (int stream = 0; stream < 64; ++stream) {
        loads.load_of(upstream_id("model-0/stage-0/holder-0"))->note_sent();
    }
    EXPECT_EQ((*policy(routes, request))[0].holder, upstream_id("model-0/stage-0/holder-1"));
}

TEST(routing_table, subsets_of_all_hosts_together_use_every_holder)
{
    const bundle content = tests::make_sample_bundle({.stages = 1, .holders_of_a_stage = 64});
    std::map<upstream_id, int> uses;
    constexpr int hosts = 40;
    for (int host = 0; host < hosts; ++host) {
        load_table loads;
        const routing_table table(content, host_id("host-" + std::to_string(host)), loads);
        EXPECT_EQ(table.stage_count(), holders_per_stage);
        for (const stage_option& stage : table.routes_of(model_id("model-0"))->starting_at[0]) {
            ++uses[stage.holder];
        }
    }
    EXPECT_EQ(uses.size(), 64U);
}

TEST(service_options, leaving_upstream_is_never_chosen)
{
    load_table loads;
    const std::vector<service_option> options{
        {upstream_id("a"), endpoint("127.0.0.1:1"), loads.load_of(upstream_id("a"))},
        {upstream_id("b"), endpoint("127.0.0.1:2"), loads.load_of(upstream_id("b"))}};
    loads.load_of(upstream_id("a"))->set_leaving(true);
    const random_function random = make_seeded_random(3);
    for (int round = 0; round < 50; ++round) {
        EXPECT_EQ(choose_service_option(options, {time_point(), {}}, random)->name, upstream_id("b"));
    }
    EXPECT_FALSE(choose_service_option(options, {time_point(), {upstream_id("b")}}, random));
}

} // namespace

} // namespace sailtiller
