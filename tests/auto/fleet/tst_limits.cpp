// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <fleet/limitallocator.h>
#include <fleet/limitclient.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

const upstream_id limited("e1");

class limit_home_test : public testing::Test
{
protected:
    limit_home_test() { this->name(2); }

    void name(std::optional<double> rate) { this->limits.take({limited, rate, duration::zero()}, this->now); }

    limit_grant ask(const std::string& holder, unsigned wanted, duration holder_uptime = 1h)
    {
        return this->home.answer(
            {host_id(holder), holder_uptime, this->limits.statement_of(limited, this->now), wanted},
            this->uptime, this->is_leaving, this->now);
    }

    time_point now{std::chrono::seconds(1000)};
    duration uptime = 1h;
    bool is_leaving = false;
    upstream_limits limits;
    limit_allocator home{this->limits};
};

TEST_F(limit_home_test, begins_with_nothing_and_grants_what_the_limit_allows)
{
    EXPECT_EQ(this->ask("a", 5).granted, 0U) << "another host may have granted it a moment ago";
    unsigned granted = 0;
    for (int turn = 0; turn < 100; ++turn) {
        this->now += 100ms;
        granted += this->ask("a", 5).granted;
    }
    EXPECT_EQ(granted, 20U);
}

TEST_F(limit_home_test, what_nobody_asks_for_is_kept_for_a_moment_only)
{
    this->ask("a", 1);
    this->now += 1min;
    EXPECT_EQ(this->ask("a", 100).granted, 2U);
}

TEST_F(limit_home_test, hosts_that_ask_share_and_wait_the_longer_the_more_they_are)
{
    this->name(40);
    EXPECT_EQ(this->ask("a", 1).wait, duration(50ms));
    for (const char* holder : {"b", "c", "d", "e", "f", "g", "h", "i", "j"}) {
        this->ask(holder, 1);
    }
    this->now += 1s;
    const limit_grant first = this->ask("a", 100);
    EXPECT_EQ(first.granted, 1U) << "of six at hand, ten hosts have their part";
    EXPECT_EQ(first.wait, duration(125ms)) << "two questions for each request";
    this->name(1);
    EXPECT_EQ(this->ask("b", 1).wait, duration(4s));
}

TEST_F(limit_home_test, a_limit_of_nothing_lets_one_request_through_at_times)
{
    this->name(0);
    this->ask("a", 1);
    unsigned granted = 0;
    for (int turn = 0; turn < 20; ++turn) {
        this->now += 1s;
        granted += this->ask("a", 1).granted;
    }
    EXPECT_EQ(granted, 5U) << "its answer tells whether the limit has ended";
}

TEST_F(limit_home_test, the_younger_statement_of_a_limit_is_used_by_both_sides)
{
    this->now += 1s;
    const limit_query ended{host_id("a"), 1h, {limited, std::nullopt, duration::zero()}, 1};
    const limit_grant grant = this->home.answer(ended, this->uptime, false, this->now);
    EXPECT_EQ(grant.granted, 0U);
    EXPECT_EQ(this->limits.limit_of(limited), std::nullopt);
    this->name(3);
    EXPECT_EQ(this->ask("b", 1).statement.requests_per_second, 3);
}

TEST_F(limit_home_test, a_host_that_leaves_or_has_just_started_leaves_limits_to_others)
{
    this->is_leaving = true;
    EXPECT_FALSE(this->ask("a", 1).is_allocator);
    this->is_leaving = false;
    this->uptime = 3s;
    EXPECT_TRUE(this->ask("self", 1, 3s).is_allocator) << "it knows of no other host that shares it out";
    EXPECT_FALSE(this->ask("a", 1).is_allocator);
    EXPECT_FALSE(this->ask("self", 1, 3s).is_allocator);
    this->now += 3s;
    this->uptime = 6s;
    EXPECT_TRUE(this->ask("self", 1, 6s).is_allocator) << "the other asks no more";
    EXPECT_TRUE(this->ask("b", 1, 6500ms).is_allocator) << "all have started at the same time";
    this->uptime = 10s;
    EXPECT_TRUE(this->ask("a", 1).is_allocator);
}

TEST_F(limit_home_test, forgets_what_nobody_asks_for)
{
    this->ask("a", 1);
    this->now += 7s;
    this->home.forget_idle(this->now);
    EXPECT_EQ(this->home.bucket_count(), 1U);
    this->now += 2s;
    this->home.forget_idle(this->now);
    EXPECT_EQ(this->home.bucket_count(), 0U);
}

class limit_holder_test : public testing::Test
{
protected:
    struct asked
    {
        host_id home;
        limit_query question;
        std::function<void(const limit_grant&)> on_grant;
        std::function<void()> on_failure;
    };

    limit_holder_test()
    {
        limit_client_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.hosts = [this] { return this->hosts; };
        hooks.ask = [this](const host_id& home, const limit_query& question,
                        std::function<void(const limit_grant&)> on_grant, std::function<void()> on_failure) {
            this->questions.push_back({home, question, std::move(on_grant), std::move(on_failure)});
        };
        this->holder = std::make_unique<limit_client>(host_id("self"), this->limits, hooks);
        this->name(5);
    }

    void name(std::optional<double> rate) { this->limits.take({limited, rate, duration::zero()}, this->now); }

    void grant(unsigned count, duration wait = 1s)
    {
        const asked last = this->questions.back();
        last.on_grant({true, count, wait, last.question.statement});
    }

    bool take() { return this->holder->take(limited); }

    time_point now{std::chrono::seconds(1000)};
    timer_queue timers;
    upstream_limits limits;
    std::vector<host_id> hosts{host_id("a"), host_id("b"), host_id("c")};
    std::vector<asked> questions;
    std::unique_ptr<limit_client> holder;
};

TEST_F(limit_holder_test, an_upstream_without_a_limit_takes_all)
{
    EXPECT_TRUE(this->holder->take(upstream_id("free")));
    EXPECT_TRUE(this->questions.empty());
}

TEST_F(limit_holder_test, sends_what_is_granted_and_asks_again_in_time)
{
    EXPECT_FALSE(this->take());
    EXPECT_FALSE(this->take());
    ASSERT_EQ(this->questions.size(), 1U) << "one question at a time";
    EXPECT_FALSE(this->holder->is_exhausted(limited)) << "the answer is worth waiting for";
    this->grant(2);
    EXPECT_TRUE(this->take());
    EXPECT_TRUE(this->take());
    EXPECT_FALSE(this->take());
    EXPECT_TRUE(this->holder->is_exhausted(limited));
    EXPECT_EQ(this->questions.size(), 1U);
    this->now += 950ms;
    EXPECT_FALSE(this->holder->is_exhausted(limited)) << "it is asked for soon";
    this->now += 50ms;
    EXPECT_FALSE(this->take());
    ASSERT_EQ(this->questions.size(), 2U);
    EXPECT_EQ(this->questions.back().question.wanted, 2U) << "as many as were held back since";
}

TEST_F(limit_holder_test, what_is_granted_ends_half_a_second_after_it_was_asked_for)
{
    this->take();
    this->now += 300ms;
    this->grant(3);
    EXPECT_TRUE(this->take());
    this->now += 200ms;
    EXPECT_FALSE(this->take());
}

TEST_F(limit_holder_test, a_host_that_leaves_three_queries_unanswered_is_skipped_for_a_second)
{
    this->take();
    const host_id first = this->questions.back().home;
    this->questions.back().on_failure();
    this->questions.back().on_failure();
    EXPECT_EQ(this->questions.back().home, first) << "two hosts that share out one limit grant twice of it";
    this->questions.back().on_failure();
    ASSERT_EQ(this->questions.size(), 4U);
    const host_id second = this->questions.back().home;
    EXPECT_NE(second, first);
    this->grant(1, 50ms);
    EXPECT_TRUE(this->take());
    this->now += 1s;
    this->take();
    EXPECT_EQ(this->questions.back().home, first);
    this->questions.back().on_failure();
    EXPECT_EQ(this->questions.back().home, second) << "it has not answered since";
}

TEST_F(limit_holder_test, a_host_that_grants_nothing_is_skipped_at_once)
{
    this->take();
    const host_id first = this->questions.back().home;
    this->questions.back().on_grant(
        {false, 0, duration::zero(), this->limits.statement_of(limited, this->now)});
    ASSERT_EQ(this->questions.size(), 2U);
    EXPECT_NE(this->questions.back().home, first);
}

TEST_F(limit_holder_test, where_no_host_answers_nothing_is_sent)
{
    this->take();
    std::size_t answered = 0;
    while (answered < this->questions.size()) { // each failure may ask the next host
        const std::function<void()> fail = this->questions[answered].on_failure;
        ++answered;
        fail();
    }
    EXPECT_EQ(this->questions.size(), 5U);
    EXPECT_FALSE(this->take());
    EXPECT_TRUE(this->holder->is_exhausted(limited));
    this->now += 250ms;
    EXPECT_FALSE(this->take());
    EXPECT_GT(this->questions.size(), 5U);
}

TEST_F(limit_holder_test, an_answer_tells_that_the_limit_has_ended)
{
    this->take();
    this->now += 10ms;
    const asked last = this->questions.back();
    last.on_grant({true, 0, 1s, {limited, std::nullopt, duration::zero()}});
    EXPECT_TRUE(this->take());
    this->holder->tidy();
    EXPECT_TRUE(this->take());
}

TEST(limit_messages, read_what_was_written_and_refuse_what_was_not)
{
    const limit_query question{host_id("a"), 3s, {limited, 4.5, 20ms}, 7};
    const limit_query read = decode_limit_query(encode_limit_query(question));
    EXPECT_EQ(read.holder, question.holder);
    EXPECT_EQ(read.uptime, question.uptime);
    EXPECT_EQ(read.statement.upstream, limited);
    EXPECT_EQ(read.statement.requests_per_second, 4.5);
    EXPECT_EQ(read.statement.age, question.statement.age);
    EXPECT_EQ(read.wanted, 7U);
    const limit_grant grant{false, 3, 50ms, {limited, std::nullopt, duration::max()}};
    const limit_grant read_grant = decode_limit_grant(encode_limit_grant(grant));
    EXPECT_FALSE(read_grant.is_allocator);
    EXPECT_EQ(read_grant.granted, 3U);
    EXPECT_EQ(read_grant.wait, duration(50ms));
    EXPECT_EQ(read_grant.statement.requests_per_second, std::nullopt);
    EXPECT_EQ(read_grant.statement.age, duration::max());
    EXPECT_THROW(decode_limit_query("nonsense"), error);
    EXPECT_THROW(decode_limit_grant(encode_limit_query(question)), error);
}

} // namespace

} // namespace sailtiller::tests
