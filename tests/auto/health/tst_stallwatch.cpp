// SPDX-License-Identifier: Apache-2.0
#include <health/stallwatch.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

std::vector<upstream_id> parts(std::initializer_list<const char*> names)
{
    return {names.begin(), names.end()};
}

class stall_watch_test : public testing::Test
{
protected:
    stall_watch_test()
    {
        stall_watch_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.probe = [this](const upstream_id& id, std::function<void(std::optional<double>)> on_answer) {
            this->probed.push_back(id.value());
            this->answers[id.value()] = std::move(on_answer);
        };
        hooks.on_dead = [this](const upstream_id& id) { this->dead.push_back(id.value()); };
        hooks.on_alive = [this](const upstream_id& id, double pace) { this->paces[id.value()] = pace; };
        this->watch = std::make_unique<stall_watch>(stall_watch_settings{}, hooks);
        this->watch->start();
    }

    /// Time passes in the watch's own steps; the named streams get an event every 20 ms.
    void pass(duration time, const std::vector<stall_watch::stream_key>& moving = {})
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 20ms;
            for (const stall_watch::stream_key key : moving) {
                this->watch->note_progress(key);
            }
            this->timers.run_due(this->now);
        }
    }

    time_point now{100s};
    timer_queue timers;
    std::vector<std::string> probed;
    std::map<std::string, std::function<void(std::optional<double>)>> answers;
    std::vector<std::string> dead;
    std::map<std::string, double> paces;
    std::unique_ptr<stall_watch> watch;
};

TEST_F(stall_watch_test, only_what_no_moving_stream_passes_is_suspected)
{
    const auto first = this->watch->add(parts({"head", "shared", "broken"}), this->now + 1s);
    const auto second = this->watch->add(parts({"head", "shared", "sound"}), this->now + 1s);
    this->pass(100ms, {first, second});
    this->pass(200ms, {second});
    EXPECT_EQ(this->probed, std::vector<std::string>{"broken"});
}

TEST_F(stall_watch_test, several_streams_that_are_silent_together_are_believed_sooner)
{
    const auto first = this->watch->add(parts({"a"}), this->now + 1s);
    const auto second = this->watch->add(parts({"a"}), this->now + 1s);
    const auto third = this->watch->add(parts({"a"}), this->now + 1s);
    this->pass(40ms, {first, second, third});
    this->pass(60ms);
    EXPECT_TRUE(this->probed.empty());
    this->pass(20ms);
    EXPECT_EQ(this->probed, std::vector<std::string>{"a"});
}

TEST_F(stall_watch_test, a_suspect_that_gives_no_answer_is_dead)
{
    const auto first = this->watch->add(parts({"a"}), this->now + 1s);
    this->pass(60ms, {first});
    this->pass(140ms);
    ASSERT_EQ(this->probed.size(), 1U);
    EXPECT_TRUE(this->dead.empty());
    this->answers["a"](std::nullopt);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
}

TEST_F(stall_watch_test, a_dead_one_is_probed_again_until_it_answers)
{
    this->watch->suspect(upstream_id("a"));
    this->pass(40ms);
    ASSERT_EQ(this->probed.size(), 1U);
    this->answers["a"](std::nullopt);
    EXPECT_TRUE(this->watch->is_dead(upstream_id("a")));
    this->pass(480ms);
    EXPECT_EQ(this->probed.size(), 1U);
    this->pass(60ms);
    ASSERT_EQ(this->probed.size(), 2U);
    this->answers["a"](std::nullopt);
    EXPECT_EQ(this->dead.size(), 2U) << "each probe without answer tells it anew";
    this->pass(560ms);
    ASSERT_EQ(this->probed.size(), 3U);
    this->answers["a"](1.0);
    EXPECT_FALSE(this->watch->is_dead(upstream_id("a")));
    this->pass(2s);
    EXPECT_EQ(this->probed.size(), 3U);
}

TEST_F(stall_watch_test, a_dead_one_that_no_longer_exists_is_forgotten)
{
    this->watch->suspect(upstream_id("a"));
    this->pass(40ms);
    this->answers["a"](std::nullopt);
    this->watch->forget([](const upstream_id&) { return false; });
    this->pass(2s);
    EXPECT_EQ(this->probed.size(), 1U);
}

TEST_F(stall_watch_test, a_stall_on_a_path_that_moves_for_others_is_looked_for_in_all_its_parts)
{
    const auto slow = this->watch->add(parts({"a", "b"}), this->now + 1s);
    const auto other = this->watch->add(parts({"a", "b"}), this->now + 1s);
    this->pass(100ms, {slow, other});
    this->pass(120ms, {other});
    EXPECT_EQ(this->probed, (std::vector<std::string>{"a", "b"}));
    this->answers["a"](1.0);
    this->answers["b"](12.0);
    EXPECT_EQ(this->paces["b"], 12.0);
    this->pass(900ms, {other});
    EXPECT_EQ(this->probed.size(), 2U) << "each has answered a moment ago";
}

TEST_F(stall_watch_test, a_slow_one_is_probed_until_it_is_sound_again)
{
    this->watch->suspect(upstream_id("a"));
    this->pass(40ms);
    this->answers["a"](4.0);
    this->pass(1100ms);
    ASSERT_EQ(this->probed.size(), 2U);
    this->answers["a"](1.0);
    EXPECT_EQ(this->paces["a"], 1.0);
    this->pass(3s);
    EXPECT_EQ(this->probed.size(), 2U);
}

TEST_F(stall_watch_test, tells_whether_streams_moved_over_an_upstream_lately)
{
    const auto key = this->watch->add(parts({"a", "b"}), this->now + 1s);
    EXPECT_FALSE(this->watch->has_moved(upstream_id("a"), this->now));
    this->pass(40ms, {key});
    EXPECT_TRUE(this->watch->has_moved(upstream_id("b"), this->now - 20ms));
    EXPECT_FALSE(this->watch->has_moved(upstream_id("c"), this->now - 20ms));
    this->pass(80ms);
    EXPECT_FALSE(this->watch->has_moved(upstream_id("b"), this->now - 40ms));
}

TEST_F(stall_watch_test, a_suspect_that_answers_is_left_alone_for_a_second)
{
    const auto first = this->watch->add(parts({"a"}), this->now + 1s);
    this->pass(60ms, {first});
    this->pass(140ms);
    this->answers["a"](1.0);
    this->pass(800ms);
    EXPECT_EQ(this->probed.size(), 1U);
    EXPECT_TRUE(this->dead.empty());
    this->pass(400ms);
    EXPECT_EQ(this->probed.size(), 2U);
}

TEST_F(stall_watch_test, a_stream_is_not_suspicious_before_its_first_event_is_due)
{
    this->watch->add(parts({"a"}), this->now + 500ms);
    this->pass(480ms);
    EXPECT_TRUE(this->probed.empty());
    this->pass(60ms);
    EXPECT_EQ(this->probed.size(), 1U);
}

TEST_F(stall_watch_test, a_stream_that_was_just_sent_proves_nothing_about_its_path)
{
    const auto first = this->watch->add(parts({"a", "b"}), this->now + 1s);
    this->pass(60ms, {first});
    this->pass(80ms);
    this->watch->add(parts({"a", "b"}), this->now + 1s);
    this->pass(60ms);
    EXPECT_EQ(this->probed.size(), 2U);
}

TEST_F(stall_watch_test, a_pause_of_the_process_itself_condemns_nobody)
{
    const auto first = this->watch->add(parts({"a"}), this->now + 1s);
    this->pass(60ms, {first});
    this->now += 3s;
    this->timers.run_due(this->now);
    EXPECT_TRUE(this->probed.empty());
    this->pass(80ms);
    EXPECT_TRUE(this->probed.empty());
    this->pass(60ms);
    EXPECT_EQ(this->probed.size(), 1U);
}

TEST_F(stall_watch_test, a_changed_path_and_a_finished_stream_are_not_suspicious)
{
    const auto first = this->watch->add(parts({"a"}), this->now + 100ms);
    const auto second = this->watch->add(parts({"b"}), this->now + 100ms);
    this->watch->change_path(first, parts({"c"}), this->now + 1s);
    this->watch->remove(second);
    this->pass(500ms);
    EXPECT_TRUE(this->probed.empty());
}

} // namespace

} // namespace sailtiller
