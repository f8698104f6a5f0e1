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
    double used = 0; ///< used share of the capacity of each engine
    std::vector<layer_order> sent;
    std::vector<std::function<void(order_result)>> answers;
    std::unique_ptr<placement_controller> keeper;
};

TEST_F(placement_controller_test, plans_new_site_after_discovery_settles)
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

TEST_F(placement_controller_test, issues_no_orders_without_duty)
{
    this->token.reset();
    this->put("a");
    this->look();
    this->look(10s);
    EXPECT_TRUE(this->sent.empty());
}

TEST_F(placement_controller_test, new_duty_holder_keeps_held_layers)
{
    this->put("a", {0, 8});
    this->put("b", {8, 16});
    this->look();
    this->look(10s);
    EXPECT_TRUE(this->sent.empty());
}

TEST_F(placement_controller_test, balances_crowded_layout_after_stabilization)
{
    for (const char* id : {"a", "b", "c"}) {
        this->put(id, {0, 9});
    }
    this->put("crowded", {7, 16});
    this->look();
    this->look(10s);
    EXPECT_TRUE(this->sent.empty()) << "no benefit without high usage";
    this->used = 0.9;
    this->look(250ms);
    EXPECT_TRUE(this->sent.empty()) << "searched shortly before";
    this->look(4s);
    EXPECT_FALSE(this->sent.empty());
}

TEST_F(placement_controller_test, new_duty_holder_balances_only_after_stabilization)
{
    for (const char* id : {"a", "b", "c"}) {
        this->put(id, {0, 9});
    }
    this->put("crowded", {7, 16});
    this->used = 0.9;
    this->look();
    EXPECT_TRUE(this->sent.empty()) << "all hosts may have just started";
    this->token.reset();
    this->look(10s);
    this->token = fencing_token(8);
    this->look(1s);
    EXPECT_TRUE(this->sent.empty()) << "orders of the previous holder may be pending";
    this->look(4s);
    EXPECT_FALSE(this->sent.empty());
}

TEST_F(placement_controller_test, does_not_reuse_fenced_token)
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

TEST_F(placement_controller_test, resends_unanswered_order_unchanged)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    ASSERT_EQ(this->sent.size(), 1U);
    this->answer_all(order_result::unanswered);
    this->look(100ms);
    EXPECT_EQ(this->sent.size(), 1U) << "before the resend interval";
    this->look(500ms);
    ASSERT_EQ(this->sent.size(), 2U);
    EXPECT_EQ(this->sent[1].span, this->sent[0].span);
}

TEST_F(placement_controller_test, pending_order_counts_as_done_until_it_expires)
{
    this->put("a", {0, 8});
    this->put("b");
    this->look();
    this->answer_all(order_result::begun);
    this->look(3s);
    EXPECT_EQ(this->sent.size(), 1U);
    // Half of the layers load in 4 s, and the load slack is 4 s.
    this->look(6s);
    EXPECT_EQ(this->sent.size(), 2U);
}

TEST_F(placement_controller_test, drops_finished_order)
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

TEST_F(placement_controller_test, backs_off_from_engine_that_refused)
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

TEST_F(placement_controller_test, ignores_verdicts_if_many_engines_seem_dead)
{
    this->put("a", {0, 8});
    this->put("b", {8, 16});
    this->put("c", {0, 5});
    this->dead = {upstream_id("b"), upstream_id("c")};
    this->look();
    EXPECT_TRUE(this->sent.empty());
}

TEST_F(placement_controller_test, reassigns_layers_of_dead_or_leaving_engine)
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

TEST_F(placement_controller_test, expects_vanished_engine_back_during_grace_period)
{
    // The first engine that comes back after two were lost takes the share of one of three engines, not the
    // larger share of one of two.
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
    EXPECT_GT(this->sent[0].span.count(), 7U) << "the grace period of the others is over";
}

} // namespace

} // namespace sailtiller
