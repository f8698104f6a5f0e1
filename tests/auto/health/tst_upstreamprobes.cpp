// SPDX-License-Identifier: Apache-2.0
#include <health/reporteddeaths.h>
#include <health/upstreamprobes.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

const upstream_id a("a");
const upstream_id b("b");

class upstream_probes_test : public testing::Test
{
protected:
    upstream_probes_test()
    {
        upstream_probe_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.send = [this](const upstream_id& id, std::function<void(std::optional<double>)> on_answer) {
            this->sent.push_back(id.value());
            this->answers[id.value()] = std::move(on_answer);
        };
        hooks.find_other = [this](const upstream_id&) { return this->other; };
        hooks.has_progressed = [this](
                                   const upstream_id& id, time_point) { return this->moved == id.value(); };
        hooks.has_other_progressed = [this](const upstream_id&, time_point) {
            return this->has_other_progressed;
        };
        hooks.is_assigned_prober = [this](const upstream_id&) { return this->is_assigned_prober; };
        hooks.on_dead = [this](const std::vector<upstream_id>& ids) {
            for (const upstream_id& id : ids) {
                this->dead.push_back(id.value());
            }
            this->told.push_back(ids);
        };
        hooks.on_alive = [this](const upstream_id& id, double pace) { this->paces[id.value()] = pace; };
        this->probes = std::make_unique<upstream_probes>(upstream_probe_settings{}, hooks);
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 10ms;
            this->probes->look();
        }
    }

    void answer(const std::string& id, std::optional<double> pace) { this->answers.at(id)(pace); }

    /// Probes that are answered after a time, until the limit has adapted.
    void see_answers_after(duration time)
    {
        for (int count = 0; count < 20; ++count) {
            const std::string id = "seen" + std::to_string(count);
            this->probes->ask(upstream_id(id));
            this->now += time;
            this->answer(id, 1.0);
            this->now += 2s; // the budget fills
        }
        this->sent.clear();
    }

    time_point now{100s};
    timer_queue timers;
    std::vector<std::string> sent;
    std::map<std::string, std::function<void(std::optional<double>)>> answers;
    std::vector<std::string> dead;
    std::map<std::string, double> paces;
    std::string moved;
    bool has_other_progressed = true;
    bool is_assigned_prober = true;
    std::optional<upstream_id> other{"elsewhere"};
    std::unique_ptr<upstream_probes> probes;
    std::vector<std::vector<upstream_id>> told; ///< the verdicts, as they came together
};

TEST_F(upstream_probes_test, one_without_an_answer_is_dead_in_some_tens_of_milliseconds)
{
    EXPECT_TRUE(this->probes->ask(a));
    this->pass(20ms);
    EXPECT_TRUE(this->dead.empty());
    this->pass(20ms);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
    EXPECT_TRUE(this->probes->is_dead(a));
}

// Evidence: streams moved from one upstream to another that was condemned 0.3 ms later, in the same look.
TEST_F(upstream_probes_test, verdicts_of_one_look_are_all_known_before_the_first_is_told)
{
    this->probes->ask(a);
    this->probes->ask(b);
    this->pass(60ms);
    EXPECT_EQ(this->dead, (std::vector<std::string>{"a", "b"}));
    ASSERT_EQ(this->told.size(), 1U);
    EXPECT_EQ(this->told[0], (std::vector{a, b}));
}

TEST_F(upstream_probes_test, the_time_for_an_answer_follows_those_that_came)
{
    this->see_answers_after(2ms);
    EXPECT_EQ(this->probes->answer_limit(), 20ms) << "no less, as timers run late";
    this->see_answers_after(60ms);
    EXPECT_GE(this->probes->answer_limit(), 60ms);
    EXPECT_LE(this->probes->answer_limit(), 120ms);
}

TEST_F(upstream_probes_test, without_a_sign_of_life_from_others_there_is_no_verdict)
{
    this->has_other_progressed = false;
    this->probes->ask(a);
    this->pass(2s);
    EXPECT_TRUE(this->dead.empty()) << "this host hears nobody";
    EXPECT_NE(std::find(this->sent.begin(), this->sent.end(), "elsewhere"), this->sent.end())
        << "somebody else was asked";
}

TEST_F(upstream_probes_test, an_answer_of_another_one_is_the_second_sign)
{
    this->has_other_progressed = false;
    this->probes->ask(a);
    this->pass(40ms);
    ASSERT_EQ(this->sent, (std::vector<std::string>{"a", "elsewhere"}));
    this->answer("elsewhere", 1.0);
    this->pass(40ms);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
}

TEST_F(upstream_probes_test, the_only_upstream_there_is_can_be_found_dead)
{
    this->has_other_progressed = false;
    this->other.reset();
    this->probes->ask(a);
    this->pass(300ms);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
}

TEST_F(upstream_probes_test, a_stream_that_moves_over_it_goes_before_a_lost_answer)
{
    this->probes->ask(a);
    this->moved = "a";
    this->pass(200ms);
    EXPECT_TRUE(this->dead.empty());
}

TEST_F(upstream_probes_test, time_in_which_the_process_stood_still_counts_against_nobody)
{
    this->probes->ask(a);
    this->now += 5s;
    this->probes->extend_deadlines(5s);
    this->probes->look();
    EXPECT_TRUE(this->dead.empty());
    this->pass(40ms);
    EXPECT_EQ(this->dead.size(), 1U);
}

TEST_F(upstream_probes_test, an_answer_after_the_verdict_revives_it)
{
    this->probes->ask(a);
    this->pass(50ms);
    ASSERT_TRUE(this->probes->is_dead(a));
    this->answer("a", 1.0);
    EXPECT_FALSE(this->probes->is_dead(a));
    EXPECT_EQ(this->paces["a"], 1.0);
}

TEST_F(upstream_probes_test, a_dead_one_is_asked_again_until_it_answers)
{
    this->probes->ask(a);
    this->pass(50ms);
    ASSERT_EQ(this->dead.size(), 1U);
    this->pass(460ms);
    EXPECT_EQ(this->sent.size(), 1U);
    this->pass(60ms);
    EXPECT_EQ(this->sent.size(), 2U);
    this->pass(60ms);
    EXPECT_EQ(this->dead.size(), 2U) << "each probe without answer tells it anew";
    this->pass(500ms);
    ASSERT_EQ(this->sent.size(), 3U);
    this->answer("a", 1.0);
    EXPECT_FALSE(this->probes->is_dead(a));
    this->pass(3s);
    EXPECT_EQ(this->sent.size(), 3U);
}

TEST_F(upstream_probes_test, a_host_that_does_not_watch_it_leaves_that_to_others)
{
    this->is_assigned_prober = false;
    this->probes->ask(a);
    this->pass(1s);
    EXPECT_TRUE(this->probes->is_dead(a));
    this->probes->note_reported_dead(a);
    this->pass(1s);
    EXPECT_TRUE(this->probes->is_dead(a)) << "they tell that it is dead still";
    this->pass(1s);
    EXPECT_FALSE(this->probes->is_dead(a)) << "nobody says so any more";
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(upstream_probes_test, a_watcher_asks_what_others_found_dead)
{
    this->probes->note_reported_dead(a);
    EXPECT_EQ(this->sent, std::vector<std::string>{"a"});
    this->is_assigned_prober = false;
    this->probes->note_reported_dead(upstream_id("b"));
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(upstream_probes_test, the_newer_of_own_verdict_and_told_answer_counts)
{
    this->probes->ask(a);
    const time_point asked = this->now;
    this->pass(50ms);
    this->probes->note_reported_alive(a, 1.0, asked);
    EXPECT_TRUE(this->probes->is_dead(a));
    this->probes->note_reported_alive(a, 3.0, this->now + 1ms);
    EXPECT_FALSE(this->probes->is_dead(a));
    EXPECT_EQ(this->paces["a"], 3.0);
    EXPECT_FALSE(this->probes->ask(a)) << "it has answered another host a moment ago";
}

TEST_F(upstream_probes_test, a_slow_one_is_asked_until_it_is_sound_again)
{
    this->probes->ask(a);
    this->answer("a", 4.0);
    this->pass(1100ms);
    ASSERT_EQ(this->sent.size(), 2U);
    this->answer("a", 1.0);
    EXPECT_EQ(this->paces["a"], 1.0);
    this->pass(3s);
    EXPECT_EQ(this->sent.size(), 2U);
}

TEST_F(upstream_probes_test, one_that_answered_is_left_alone_for_a_second)
{
    this->probes->ask(a);
    this->answer("a", 1.0);
    this->pass(900ms);
    EXPECT_FALSE(this->probes->ask(a));
    this->pass(200ms);
    EXPECT_TRUE(this->probes->ask(a));
}

TEST_F(upstream_probes_test, the_budget_bounds_what_one_host_and_all_together_ask)
{
    const auto ask_many = [this] {
        std::size_t count = 0;
        for (int number = 0; number < 200; ++number) {
            count += this->probes->ask(upstream_id("u" + std::to_string(number))) ? 1 : 0;
        }
        return count;
    };
    EXPECT_EQ(ask_many(), 32U) << "a hall may fall dark at once";
    this->probes->set_live_hosts(60);
    this->now += 3s;
    EXPECT_EQ(ask_many(), 6U) << "120 a second over 60 hosts";
}

TEST_F(upstream_probes_test, one_that_no_longer_exists_is_forgotten)
{
    this->probes->ask(a);
    this->pass(50ms);
    this->probes->forget([](const upstream_id&) { return false; });
    this->pass(2s);
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST(reported_deaths, two_hosts_must_say_it_where_there_are_as_many)
{
    reported_deaths told;
    const time_point now{100s};
    EXPECT_TRUE(told.note(a, host_id("x"), now + 1s, now).has_value()) << "hardly anybody else is there";
    told.clear(a);
    told.set_live_hosts(60);
    EXPECT_FALSE(told.note(a, host_id("x"), now + 1s, now).has_value());
    EXPECT_FALSE(told.note(a, host_id("x"), now + 2s, now).has_value()) << "the same one again";
    EXPECT_EQ(told.note(a, host_id("y"), now + 1s, now), now + 1s) << "until the second word ends";
    EXPECT_FALSE(told.note(a, host_id("z"), now + 9s, now + 5s).has_value()) << "the others' have ended";
    EXPECT_TRUE(told.note(a, host_id("x"), now + 9s, now + 5s).has_value());
    told.clear(a);
    EXPECT_FALSE(told.note(a, host_id("y"), now + 9s, now + 5s).has_value());
}

} // namespace

} // namespace sailtiller
