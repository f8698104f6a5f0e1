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

    /// Sends probes that are answered after `time`, until the answer limit has adapted.
    void see_answers_after(duration time)
    {
        for (int count = 0; count < 20; ++count) {
            const std::string id = "seen" + std::to_string(count);
            this->probes->ask(upstream_id(id));
            this->now += time;
            this->answer(id, 1.0);
            this->now += 2s; // refills the budget
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
    std::vector<std::vector<upstream_id>> told; ///< the verdicts of each call
};

TEST_F(upstream_probes_test, unanswering_upstream_is_dead_within_40_ms)
{
    EXPECT_TRUE(this->probes->ask(a));
    this->pass(20ms);
    EXPECT_TRUE(this->dead.empty());
    this->pass(20ms);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
    EXPECT_TRUE(this->probes->is_dead(a));
}

// Guards against streams that move from one dead upstream to another one that is marked dead 0.3 ms later, in
// the same check.
TEST_F(upstream_probes_test, verdicts_of_one_check_are_reported_together)
{
    this->probes->ask(a);
    this->probes->ask(b);
    this->pass(60ms);
    EXPECT_EQ(this->dead, (std::vector<std::string>{"a", "b"}));
    ASSERT_EQ(this->told.size(), 1U);
    EXPECT_EQ(this->told[0], (std::vector{a, b}));
}

TEST_F(upstream_probes_test, answer_limit_follows_observed_answers)
{
    this->see_answers_after(2ms);
    EXPECT_EQ(this->probes->answer_limit(), 20ms) << "lower bound, as timers run late";
    this->see_answers_after(60ms);
    EXPECT_GE(this->probes->answer_limit(), 60ms);
    EXPECT_LE(this->probes->answer_limit(), 120ms);
}

TEST_F(upstream_probes_test, no_verdict_without_sign_of_life_from_others)
{
    this->has_other_progressed = false;
    this->probes->ask(a);
    this->pass(2s);
    EXPECT_TRUE(this->dead.empty()) << "this host has lost its connectivity";
    EXPECT_NE(std::find(this->sent.begin(), this->sent.end(), "elsewhere"), this->sent.end())
        << "another upstream was probed";
}

TEST_F(upstream_probes_test, answer_of_other_upstream_confirms_verdict)
{
    this->has_other_progressed = false;
    this->probes->ask(a);
    this->pass(40ms);
    ASSERT_EQ(this->sent, (std::vector<std::string>{"a", "elsewhere"}));
    this->answer("elsewhere", 1.0);
    this->pass(40ms);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
}

TEST_F(upstream_probes_test, only_upstream_can_be_found_dead)
{
    this->has_other_progressed = false;
    this->other.reset();
    this->probes->ask(a);
    this->pass(300ms);
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
}

TEST_F(upstream_probes_test, progressing_stream_outweighs_lost_answer)
{
    this->probes->ask(a);
    this->moved = "a";
    this->pass(200ms);
    EXPECT_TRUE(this->dead.empty());
}

TEST_F(upstream_probes_test, stall_of_own_process_extends_deadlines)
{
    this->probes->ask(a);
    this->now += 5s;
    this->probes->extend_deadlines(5s);
    this->probes->look();
    EXPECT_TRUE(this->dead.empty());
    this->pass(40ms);
    EXPECT_EQ(this->dead.size(), 1U);
}

TEST_F(upstream_probes_test, late_answer_marks_upstream_alive)
{
    this->probes->ask(a);
    this->pass(50ms);
    ASSERT_TRUE(this->probes->is_dead(a));
    this->answer("a", 1.0);
    EXPECT_FALSE(this->probes->is_dead(a));
    EXPECT_EQ(this->paces["a"], 1.0);
}

TEST_F(upstream_probes_test, dead_upstream_is_probed_until_it_answers)
{
    this->probes->ask(a);
    this->pass(50ms);
    ASSERT_EQ(this->dead.size(), 1U);
    this->pass(460ms);
    EXPECT_EQ(this->sent.size(), 1U);
    this->pass(60ms);
    EXPECT_EQ(this->sent.size(), 2U);
    this->pass(60ms);
    EXPECT_EQ(this->dead.size(), 2U) << "reported for each probe without an answer";
    this->pass(500ms);
    ASSERT_EQ(this->sent.size(), 3U);
    this->answer("a", 1.0);
    EXPECT_FALSE(this->probes->is_dead(a));
    this->pass(3s);
    EXPECT_EQ(this->sent.size(), 3U);
}

TEST_F(upstream_probes_test, unassigned_host_does_not_probe_dead_upstream)
{
    this->is_assigned_prober = false;
    this->probes->ask(a);
    this->pass(1s);
    EXPECT_TRUE(this->probes->is_dead(a));
    this->probes->note_reported_dead(a);
    this->pass(1s);
    EXPECT_TRUE(this->probes->is_dead(a)) << "renewed by reports of other hosts";
    this->pass(1s);
    EXPECT_FALSE(this->probes->is_dead(a)) << "the reports have expired";
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(upstream_probes_test, assigned_prober_probes_reported_death)
{
    this->probes->note_reported_dead(a);
    EXPECT_EQ(this->sent, std::vector<std::string>{"a"});
    this->is_assigned_prober = false;
    this->probes->note_reported_dead(upstream_id("b"));
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST_F(upstream_probes_test, newer_of_verdict_and_reported_answer_applies)
{
    this->probes->ask(a);
    const time_point asked = this->now;
    this->pass(50ms);
    this->probes->note_reported_alive(a, 1.0, asked);
    EXPECT_TRUE(this->probes->is_dead(a));
    this->probes->note_reported_alive(a, 3.0, this->now + 1ms);
    EXPECT_FALSE(this->probes->is_dead(a));
    EXPECT_EQ(this->paces["a"], 3.0);
    EXPECT_FALSE(this->probes->ask(a)) << "it has answered another host recently";
}

TEST_F(upstream_probes_test, slow_upstream_is_probed_until_it_recovers)
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

TEST_F(upstream_probes_test, answered_upstream_is_not_probed_for_a_second)
{
    this->probes->ask(a);
    this->answer("a", 1.0);
    this->pass(900ms);
    EXPECT_FALSE(this->probes->ask(a));
    this->pass(200ms);
    EXPECT_TRUE(this->probes->ask(a));
}

TEST_F(upstream_probes_test, budget_limits_probes_of_host_and_fleet)
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
    EXPECT_EQ(ask_many(), 6U) << "120 per second over 60 hosts";
}

TEST_F(upstream_probes_test, removed_upstream_is_forgotten)
{
    this->probes->ask(a);
    this->pass(50ms);
    this->probes->forget([](const upstream_id&) { return false; });
    this->pass(2s);
    EXPECT_EQ(this->sent.size(), 1U);
}

TEST(reported_deaths, two_reports_are_needed_with_enough_hosts)
{
    reported_deaths told;
    const time_point now{100s};
    EXPECT_TRUE(told.note(a, host_id("x"), now + 1s, now).has_value()) << "one report suffices for few hosts";
    told.clear(a);
    told.set_live_hosts(60);
    EXPECT_FALSE(told.note(a, host_id("x"), now + 1s, now).has_value());
    EXPECT_FALSE(told.note(a, host_id("x"), now + 2s, now).has_value()) << "same reporter again";
    EXPECT_EQ(told.note(a, host_id("y"), now + 1s, now), now + 1s) << "until the second report expires";
    EXPECT_FALSE(told.note(a, host_id("z"), now + 9s, now + 5s).has_value())
        << "the other reports have expired";
    EXPECT_TRUE(told.note(a, host_id("x"), now + 9s, now + 5s).has_value());
    told.clear(a);
    EXPECT_FALSE(told.note(a, host_id("y"), now + 9s, now + 5s).has_value());
}

} // namespace

} // namespace sailtiller
