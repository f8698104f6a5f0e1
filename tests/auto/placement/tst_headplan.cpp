// SPDX-License-Identifier: Apache-2.0
#include <placement/hallgroups.h>
#include <placement/headplan.h>
#include <placement/placementcontroller.h>

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

engine_profile make_profile(unsigned slots)
{
    engine_profile profile;
    profile.model = model_id("m");
    profile.layers = 80;
    profile.layer_mb = 1750;
    profile.token_bytes = 492'000;
    profile.step_ms = 1.02;
    profile.step_ms_per_request = 0.004;
    profile.context_ms_per_thousand = 0.005;
    profile.prompt_tokens_per_s = 196'000;
    profile.activation_bytes = 24'600;
    profile.load_seconds = 14;
    profile.loads_at_once = 6;
    profile.usual_prompt_tokens = 740;
    profile.usual_answer_tokens = 160;
    profile.request_slots = slots;
    profile.kinds = {
        {"large", {72'000, 2.4, 3.2}}, {"medium", {14'400, 5.3, 7.9}}, {"small", {21'600, 16, 8.2}}};
    return profile;
}

using engine_vector = std::vector<placeable_engine>;

void add(engine_vector& engines, const std::string& hall, const std::string& card, int count)
{
    for (; count > 0; --count) {
        placeable_engine engine;
        engine.id = upstream_id("i-" + std::to_string(100 + engines.size()));
        engine.data_hall = data_hall_id(hall);
        engine.card = card;
        engines.push_back(engine);
    }
}

/// Three halls of unlike cards; each holds the model two to three times.
engine_vector make_uneven_halls()
{
    engine_vector engines;
    for (const auto& [hall, large, medium, small] :
        {std::tuple("x", 3, 14, 16), std::tuple("y", 2, 24, 9), std::tuple("z", 4, 10, 11)}) {
        add(engines, hall, "large", large);
        add(engines, hall, "medium", medium);
        add(engines, hall, "small", small);
    }
    return engines;
}

engine_vector draw_engines(std::mt19937_64& random)
{
    engine_vector engines;
    const int halls = 1 + static_cast<int>(random() % 5);
    const auto count = 3 + random() % 103;
    const auto large_in = 2 + random() % 8; // one card in so many is large
    while (engines.size() < count) {
        const char* card = random() % large_in == 0 ? "large" : random() % 2 == 0 ? "medium" : "small";
        add(engines, "hall-" + std::to_string(static_cast<int>(random()) % halls), card, 1);
    }
    return engines;
}

engine_vector carry_out(engine_vector engines, const std::vector<placement_step>& steps)
{
    for (const placement_step& step : steps) {
        for (placeable_engine& engine : engines) {
            engine.held = engine.id == step.id ? step.span : engine.held;
        }
    }
    return engines;
}

/// Streams that an engine carries, counted anew from its card.
double count_streams(const engine_profile& profile, const placeable_engine& engine)
{
    const double layers = engine.held.count();
    const double tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens;
    const double cache_mb = profile.kinds.at(engine.card).memory_mb - layers * profile.layer_mb;
    const double streams = cache_mb / (layers * tokens * profile.token_bytes / profile.layers / 1e6);
    return engine.held.holds(0) ? std::min<double>(streams, profile.request_slots) : streams;
}

struct measured_group
{
    double heads = 0; ///< streams of all heads
    double left = 0; ///< without the three largest
    double behind = 0; ///< through the thinnest layer behind the longest head
    unsigned least_holders = 0;
};

measured_group measure(const engine_profile& profile, const engine_vector& engines, unsigned head_span)
{
    std::vector<double> heads;
    std::vector<double> layers(profile.layers, 0);
    for (const placeable_engine& engine : engines) {
        if (engine.held.holds(0)) {
            heads.push_back(count_streams(profile, engine));
        }
        for (unsigned layer = engine.held.begin; layer < engine.held.end; ++layer) {
            layers[layer] += count_streams(profile, engine);
        }
    }
    std::sort(heads.rbegin(), heads.rend());
    const std::vector<unsigned> holders = count_holders(profile, engines);
    return {std::accumulate(heads.begin(), heads.end(), 0.0),
        std::accumulate(heads.begin() + std::min<std::ptrdiff_t>(3, std::ssize(heads)), heads.end(), 0.0),
        *std::min_element(layers.begin() + head_span, layers.end()),
        *std::min_element(holders.begin(), holders.end())};
}

/// Groups of halls as the planner forms them, each with the heads that it plans for it.
struct planned_group
{
    engine_vector engines;
    head_plan heads;
};

std::vector<planned_group> plan_groups(const engine_profile& profile, const engine_vector& engines)
{
    std::vector<planned_group> groups;
    const std::vector<placement_step> steps = plan_layers(profile, engines, {});
    const engine_vector placed = carry_out(engines, steps);
    for (engine_list& list : split_into_hall_groups(profile, engines, {})) {
        // The order of the planner: by hall, then by the cost of the card; as the names in this test.
        std::stable_sort(
            list.begin(), list.end(), [](const placeable_engine* first, const placeable_engine* second) {
                return std::tie(first->data_hall, first->card, first->id)
                    < std::tie(second->data_hall, second->card, second->id);
            });
        planned_group& group = groups.emplace_back();
        for (const placeable_engine* engine : list) {
            group.engines.push_back(placed[static_cast<std::size_t>(engine - engines.data())]);
        }
        group.heads = plan_heads(profile, list, {}, choose_token_capacity(profile, list, {}));
    }
    return groups;
}

TEST(head_plan, heads_of_uneven_halls_carry_what_is_behind_also_after_losses)
{
    const engine_profile profile = make_profile(192);
    for (const planned_group& group : plan_groups(profile, make_uneven_halls())) {
        ASSERT_TRUE(group.heads.applies());
        const measured_group measured = measure(profile, group.engines, group.heads.span);
        EXPECT_GE(measured.heads, measured.behind);
        EXPECT_GE(measured.left, measured.behind / 2);
        for (const placeable_engine& engine : group.engines) {
            const bool is_large_head = engine.card == "large" && engine.held.holds(0);
            EXPECT_FALSE(is_large_head) << "long spans are worth more behind the heads";
        }
        const std::vector<unsigned> holders = count_holders(profile, group.engines);
        EXPECT_GE(*std::min_element(holders.begin(), holders.end()), 2U)
            << "no single chain behind the heads";
    }
}

TEST(head_plan, slots_that_do_not_bind_change_nothing)
{
    std::mt19937_64 random(7);
    constexpr unsigned many_slots = 1'000'000;
    for (int draw = 0; draw < 40; ++draw) {
        const engine_vector engines = draw_engines(random);
        const auto unbounded = plan_layers(make_profile(0), engines, {});
        EXPECT_EQ(plan_layers(make_profile(many_slots), engines, {}), unbounded);
    }
}

TEST(head_plan, drawn_deployments)
{
    std::mt19937_64 random(11);
    int applied = 0;
    int enough = 0;
    for (int draw = 0; draw < 30; ++draw) {
        const engine_profile profile = make_profile(random() % 2 == 0 ? 192 : 96);
        const engine_vector engines = draw_engines(random);
        for (const planned_group& group : plan_groups(profile, engines)) {
            const bool holds_model = group.heads.applies() || group.heads.room.streams_behind > 0;
            const measured_group measured = measure(profile, group.engines, std::max(1U, group.heads.span));
            EXPECT_EQ(measured.least_holders > 0, holds_model) << "draw " << draw;
            if (!group.heads.applies()) {
                continue;
            }
            ++applied;
            if (group.heads.room.has_enough_heads()) {
                ++enough;
                EXPECT_GE(measured.heads, measured.behind - 1e-6) << "draw " << draw;
                EXPECT_GE(measured.left, std::min(measured.heads, measured.behind) / 2) << "draw " << draw;
            }
        }
    }
    EXPECT_GE(enough, applied * 8 / 10) << "the cards allow it in most groups";
}

/// Engines with a placement controller on a paused clock. Loads take a while; released layers are gone at
/// once.
class head_loss_test : public testing::Test
{
protected:
    head_loss_test()
    {
        placement_controller_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.token = [] { return std::optional(fencing_token(1)); };
        hooks.on_fenced = [](fencing_token) {};
        hooks.on_result = [](const layer_order&, order_result) {};
        hooks.is_dead = [](const upstream_id&) { return false; };
        hooks.used_slot_share = [](const engine_profile&, const discovered_upstream&) { return 1.0; };
        hooks.send = [this](const layer_order& order, const std::function<void(order_result)>& on_result) {
            placeable_engine& engine = this->find(order.id);
            const layer_span kept{
                std::max(engine.held.begin, order.span.begin), std::min(engine.held.end, order.span.end)};
            engine.held = kept.is_empty() ? layer_span() : kept;
            this->timers.schedule(this->now + 2s, [this, order] {
                this->find(order.id).held = order.span;
                this->put(this->find(order.id));
            });
            on_result(order_result::begun);
        };
        this->keeper = std::make_unique<placement_controller>(
            placement_controller_settings(), std::move(hooks), this->directory);
        for (const placeable_engine& engine : this->engines) {
            this->put(engine);
        }
        this->run(10s);
    }

    placeable_engine& find(const upstream_id& id)
    {
        const auto found = std::find_if(this->engines.begin(), this->engines.end(),
            [&id](const placeable_engine& engine) { return engine.id == id; });
        return found == this->engines.end() ? this->gone : *found;
    }

    void put(const placeable_engine& engine)
    {
        discovered_upstream upstream;
        upstream.id = engine.id;
        upstream.service = service_id("llm");
        upstream.address = endpoint(engine.id.value().substr(0, 5) + ":1");
        upstream.data_hall = engine.data_hall;
        upstream.card = engine.card;
        upstream.held = engine.held;
        if (!engine.id.value().empty()) {
            this->directory.put(upstream, this->now);
        }
    }

    void run(duration time)
    {
        for (const time_point end = this->now + time; this->now < end; this->now += 250ms) {
            this->timers.run_due(this->now);
            this->keeper->reconcile(this->profile, service_id("llm"));
            const bool was_placed = this->now > time_point(110s);
            for (const char* hall : {"x", "y", "z"}) {
                const std::vector<unsigned> holders = count_holders(this->profile, this->list(hall));
                const bool is_covered = std::find(holders.begin(), holders.end(), 0U) == holders.end();
                EXPECT_TRUE(is_covered || !was_placed) << "hall " << hall;
            }
        }
    }

    [[nodiscard]] engine_vector list(const std::string& hall) const
    {
        engine_vector own = this->engines;
        std::erase_if(
            own, [&hall](const placeable_engine& engine) { return engine.data_hall.value() != hall; });
        return own;
    }

    [[nodiscard]] unsigned count_heads(const std::string& hall) const
    {
        return count_holders(this->profile, this->list(hall)).front();
    }

    /// Three heads of the hall are gone, and back with nothing after `absence`, if they come back.
    void lose_heads(const std::string& hall, std::optional<duration> absence)
    {
        engine_vector lost;
        for (const placeable_engine& engine : this->list(hall)) {
            if (engine.held.holds(0) && lost.size() < 3) {
                lost.push_back(engine);
            }
        }
        for (placeable_engine& engine : lost) {
            this->directory.remove(engine.id, this->now);
            std::erase_if(
                this->engines, [&](const placeable_engine& other) { return other.id == engine.id; });
            engine.id = upstream_id(engine.id.value() + "'");
            engine.held = {};
        }
        this->run(absence.value_or(0s));
        for (const placeable_engine& engine : lost) {
            if (absence) {
                this->engines.push_back(engine);
                this->put(engine);
            }
        }
    }

    /// Heads that the planner wants for the engines of the hall.
    [[nodiscard]] std::size_t count_wanted(const std::string& hall) const
    {
        return plan_groups(this->profile, this->list(hall)).front().heads.heads.size();
    }

    time_point now{100s};
    timer_queue timers;
    upstream_directory directory{std::chrono::hours(1)};
    engine_profile profile = make_profile(192);
    engine_vector engines = make_uneven_halls();
    placeable_engine gone; ///< takes what is meant for engines that are gone
    std::unique_ptr<placement_controller> keeper;
};

TEST_F(head_loss_test, returning_engines_replace_lost_heads)
{
    for (const char* hall : {"x", "y", "z", "x"}) {
        const unsigned before = this->count_heads(hall);
        this->lose_heads(hall, 3s);
        EXPECT_EQ(this->count_heads(hall), before - 3);
        this->run(4s);
        EXPECT_EQ(this->count_heads(hall), before);
    }
}

TEST_F(head_loss_test, engines_behind_replace_heads_lost_for_good)
{
    this->lose_heads("y", std::nullopt);
    this->run(40s);
    const unsigned span = plan_groups(this->profile, this->list("y")).front().heads.span;
    const measured_group measured = measure(this->profile, this->list("y"), span);
    EXPECT_GE(measured.heads, measured.behind);
    EXPECT_GE(this->count_heads("y"), 4U);
    EXPECT_EQ(this->count_heads("x"), this->count_wanted("x")) << "other halls keep theirs";
}

} // namespace

} // namespace sailtiller
