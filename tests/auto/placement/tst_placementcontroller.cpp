// SPDX-License-Identifier: Apache-2.0
#include <placement/placementcontroller.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

class placement_controller_test : public testing::Test
{
protected:
    placement_controller_test()
    {
        this->keeper =
            std::make_unique<placement_controller>(this->settings, this->make_hooks(), this->directory);
    }

    placement_controller_hooks make_hooks()
    {
        placement_controller_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.send = [this](const layer_order& order, std::function<void(order_result)> on_result) {
            this->sent.push_back(order);
            this->answers.push_back(std::move(on_result));
        };
        hooks.token = [this] { return this->token; };
        hooks.on_fenced = [this](fencing_token refused) {
            this->refused = refused;
            this->token.reset();
        };
        hooks.on_result = [](const layer_order&, order_result) {};
        hooks.is_dead = [this](const upstream_id& id) { return this->dead.count(id) != 0; };
        hooks.used_share = [this](const engine_profile&, const discovered_upstream&) { return this->used; };
        return hooks;
    }

    void put(const std::string& id, layer_span held = {}, bool is_leaving = false)
    {
        this->put_at(id, id + ":1", held, is_leaving);
    }

    void put_at(
        const std::string& id, const std::string& address, layer_span held = {}, bool is_leaving = false)
    {
        discovered_upstream upstream;
        upstream.id = upstream_id(id);
        upstream.service = service_id("llm");
        upstream.address = endpoint(address);
        upstream.data_hall = data_hall_id("x");
        upstream.card = "big";
        upstream.held = held;
        upstream.is_leaving = is_leaving;
        this->directory.put(upstream, this->now);
    }

    void look(duration later = 0ms)
    {
        this->now += later;
        this->timers.run_due(this->now);
        this->keeper->reconcile(this->profile, service_id("llm"));
    }

    void answer_all(order_result result)
    {
        const auto waiting = std::move(this->answers);
        this->answers.clear();
        for (const auto& answer : waiting) {
            answer(result);
        }
    }

    time_point now{100s};
    timer_queue timers;
    upstream_directory directory{2s};
    engine_profile profile = tests::make_sample_profile();
    placement_controller_settings settings;
    std::optional<fencing_token> token = fencing_token(7);
    fencing_token refused;
    std::set<upstream_id> dead;
    double used = 0; ///< share of each engine's room
    std::vector<layer_order> sent;
    std::vector<std::function<void(order_result)>> answers;
    std::unique_ptr<placement_controller> keeper;
};

TEST_F(placement_controller_test, a_fresh_site_is_placed_once_no_more_engines_appear)
{
    this->put("a");
    this->look();
    this->put("b");
    this->look(1s);
    this->look(1s);
    EXPECT_TRUE(this->sent.empty());
    this->look(300ms);
    EXPECT_EQ(this->sent.size(), 2U);
    EXPECT_EQ(this->sent[0].token, fencing_token(7));
    EXPECT_FALSE(this->sent[0].expected_orders.has_value());
}

TEST_F(placement_controller_test, a_host_without_the_duty_gives_no_orders)
{
    this->token.reset();
    this->put("a");
    this->look();
    this->look(10s);
    EXPECT_TRUE(this->sent.empty());
}

TEST_F(placement_controller_test, a_new_owner_takes_what_is_held_as_it_is)
{
    this->put("a", {0, 8});
    this->put("b", {8, 16});
    this->look();
    this->look(10s);
    EXPECT_TRUE(this->sent.empty());
}

TEST_F(placement_controller_test, a_crowded_layout_is_balanced_once_it_has_been_at_rest)
{
    for (const char* id : {"a", "b", "c"}) {
        this->put(id, {0, 9});
    }
    this->put("crowded", {7, 16});
    this->look();
    this->look(10s);
    EXPECT_TRUE(this->sent.empty()) << "nobody gains by it";
    this->used = 0.9;
    this->look(250ms);
    EXPECT_TRUE(this->sent.empty()) << "looked for just before";
    this->look(4s);
    EXPECT_FALSE(this->sent.empty());
}

TEST_F(placement_controller_test, a_new_owner_of_the_duty_balances_nothing_before_it_has_seen_a_rest)
{
    for (const char* id : {"a", "b", "c"}) {
        this->put(id, {0, 9});
    }
    this->put("crowded", {7, 16});
    this->used = 0.9;
    this->look();
    EXPECT_TRUE(this->sent.empty()) << "all hosts may have started just now";
    this->token.reset();
    this->look(10s);
    this->token = fencing_token(8);
    this->look(1s);
    EXPECT_TRUE(this->sent.empty()) << "the owner before may have given orders that are under way";
    this->look(4s);
    EXPECT_FALSE(this->sent.empty());
}

TEST_F(placement_controller_test, a_refused_token_is_not_used_again)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    ASSERT_EQ(this->sent.size(), 1U);
    this->answer_all(order_result::fenced);
    EXPECT_EQ(this->refused, fencing_token(7));
    this->look(5s);
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(placement_controller_test, an_order_without_answer_is_repeated_alike)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    ASSERT_EQ(this->sent.size(), 1U);
    this->answer_all(order_result::unanswered);
    this->look(100ms);
    EXPECT_EQ(this->sent.size(), 1U) << "before its pause";
    this->look(500ms);
    ASSERT_EQ(this->sent.size(), 2U);
    EXPECT_EQ(this->sent[1].span, this->sent[0].span);
}

TEST_F(placement_controller_test, an_order_under_way_counts_as_done_until_its_time_is_over)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    this->answer_all(order_result::begun);
    this->look(3s);
    EXPECT_EQ(this->sent.size(), 1U);
    // Half of the layers take 4 s, and 4 s more are allowed for.
    this->look(6s);
    EXPECT_EQ(this->sent.size(), 2U);
}

TEST_F(placement_controller_test, a_finished_order_is_forgotten)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    this->answer_all(order_result::begun);
    EXPECT_EQ(this->keeper->pending_order_count(), 1U);
    this->put("b", this->sent[0].span);
    this->look(1s);
    EXPECT_EQ(this->keeper->pending_order_count(), 0U);
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(placement_controller_test, an_engine_that_refused_is_left_alone_for_a_while)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    this->answer_all(order_result::unfit);
    this->look(500ms);
    EXPECT_EQ(this->sent.size(), 1U);
    this->look(600ms);
    EXPECT_EQ(this->sent.size(), 2U);
}

TEST_F(placement_controller_test, many_dead_engines_at_once_are_a_host_that_reaches_none)
{
    this->put("a", {0, 8});
    this->put("b", {8, 16});
    this->put("c", {0, 5});
    this->dead = {upstream_id("b"), upstream_id("c")};
    this->look();
    EXPECT_TRUE(this->sent.empty());
}

TEST_F(placement_controller_test, layers_of_a_dead_or_leaving_engine_are_placed_again)
{
    this->put("a", {0, 8});
    this->put("b", {8, 16});
    this->put("c", {0, 5});
    this->look();
    EXPECT_TRUE(this->sent.empty());
    this->dead.insert(upstream_id("b"));
    this->look(250ms);
    ASSERT_FALSE(this->sent.empty());
    for (const layer_order& order : this->sent) {
        EXPECT_NE(order.id.value(), "b");
    }
}

TEST_F(placement_controller_test, an_engine_that_vanished_counts_as_coming_back_for_a_while)
{
    // Two big cards hold the model beside more room than three: the first to come back to two that are lost
    // must not take what all would.
    this->put_at("a", "127.0.0.1:1", {0, 6});
    this->put_at("b", "127.0.0.1:2", {6, 11});
    this->put_at("c", "127.0.0.1:3", {11, 16});
    this->look();
    this->directory.remove(upstream_id("b"), this->now);
    this->directory.remove(upstream_id("c"), this->now);
    this->look(1s);
    this->sent.clear();
    this->put_at("c2", "127.0.0.1:3");
    this->look(1s);
    ASSERT_EQ(this->sent.size(), 1U);
    EXPECT_LE(this->sent[0].span.count(), 7U) << "as one of three, not of two";
    this->answer_all(order_result::refused);
    this->sent.clear();
    this->look(this->settings.return_grace_period);
    ASSERT_EQ(this->sent.size(), 1U);
    EXPECT_GT(this->sent[0].span.count(), 7U) << "nobody else comes back any more";
}

} // namespace

} // namespace sailtiller
