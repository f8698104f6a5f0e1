// SPDX-License-Identifier: Apache-2.0
#include <store/keyedfollower.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

class keyed_follower_test : public testing::Test
{
protected:
    keyed_follower_test()
    {
        keyed_follower_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.read_newest = [this](store_topic, auto on_all, auto on_failure) {
            ++this->whole_reads;
            this->answer_all = std::move(on_all);
            this->fail = std::move(on_failure);
        };
        hooks.read_after = [this](store_topic, log_offset from, duration, auto on_page, auto on_failure) {
            this->asked_from.push_back(from.value());
            this->answer_page = std::move(on_page);
            this->fail = std::move(on_failure);
        };
        hooks.is_due = [this] { return this->is_due; };
        hooks.on_all = [this](const std::vector<keyed_record>& records, log_offset) {
            this->listed = records.size();
        };
        hooks.on_record = [this](const keyed_record& record, log_offset offset) {
            this->seen.push_back(record.key + "@" + std::to_string(offset.value()));
        };
        hooks.on_confirmed = [this](time_point asked) { this->confirmed = asked; };
        hooks.longest_retry = [this] { return this->longest_retry; };
        hooks.on_failure = [this](const error&) { ++this->failures; };
        this->follower = std::make_unique<keyed_follower>(
            keyed_follower_settings{.topic = store_topic::upstreams, .pause = 100ms}, hooks);
    }

    void pass(duration time)
    {
        this->now += time;
        this->timers.run_due(this->now);
    }

    void take_list(std::uint64_t end)
    {
        newest_page page;
        page.records = {{"a", "1"}, {"b", "2"}};
        page.end = log_offset(end);
        this->answer_all(page);
    }

    void take_page(std::vector<keyed_record> records, std::uint64_t next, std::uint64_t end)
    {
        record_page page;
        page.records = std::move(records);
        page.next = log_offset(next);
        page.end = log_offset(end);
        this->answer_page(page);
    }

    time_point now{100s};
    timer_queue timers;
    bool is_due = true;
    duration longest_retry{};
    int whole_reads = 0;
    int failures = 0;
    std::size_t listed = 0;
    std::vector<std::uint64_t> asked_from;
    std::vector<std::string> seen;
    time_point confirmed{};
    std::function<void(const newest_page&)> answer_all;
    std::function<void(const record_page&)> answer_page;
    std::function<void(const error&)> fail;
    std::unique_ptr<keyed_follower> follower;
};

TEST_F(keyed_follower_test, begins_with_all_keys_and_goes_on_with_their_changes)
{
    this->follower->start();
    this->take_list(10);
    EXPECT_EQ(this->listed, 2U);
    this->pass(100ms);
    ASSERT_EQ(this->asked_from, std::vector<std::uint64_t>{10});
    this->take_page({{"a", "3"}, {"b", std::nullopt}}, 12, 12);
    EXPECT_EQ(this->seen, (std::vector<std::string>{"a@10", "b@11"}));
}

TEST_F(keyed_follower_test, what_is_confirmed_counts_from_the_question)
{
    this->follower->start();
    const time_point asked = this->now;
    this->now += 700ms;
    this->take_list(10);
    EXPECT_EQ(this->confirmed, asked);
}

TEST_F(keyed_follower_test, an_incomplete_page_confirms_nothing_and_is_followed_at_once)
{
    this->follower->start();
    this->take_list(10);
    this->pass(100ms);
    const time_point before = this->confirmed;
    this->take_page({{"a", "3"}}, 11, 20);
    EXPECT_EQ(this->confirmed, before);
    EXPECT_EQ(this->asked_from, (std::vector<std::uint64_t>{10, 11}));
}

TEST_F(keyed_follower_test, a_page_that_brings_nothing_is_not_asked_for_again_at_once)
{
    this->follower->start();
    this->take_list(10);
    this->pass(100ms);
    this->take_page({}, 10, 20);
    EXPECT_EQ(this->asked_from.size(), 1U);
    this->pass(100ms);
    EXPECT_EQ(this->asked_from.size(), 2U);
}

TEST_F(keyed_follower_test, forgotten_records_lead_back_to_all_keys)
{
    this->follower->start();
    this->take_list(10);
    this->pass(100ms);
    record_page gone;
    gone.is_forgotten = true;
    this->answer_page(gone);
    EXPECT_EQ(this->whole_reads, 2);
}

TEST_F(keyed_follower_test, failures_are_told_and_asked_again_ever_later)
{
    this->follower->start();
    this->fail(error({"read", "store"}, "down"));
    this->pass(199ms);
    EXPECT_EQ(this->whole_reads, 1);
    this->pass(1ms);
    EXPECT_EQ(this->whole_reads, 2);
    this->fail(error({"read", "store"}, "down"));
    this->pass(399ms);
    EXPECT_EQ(this->whole_reads, 2);
    this->pass(1ms);
    EXPECT_EQ(this->whole_reads, 3);
    for (int count = 0; count < 40; ++count) {
        this->fail(error({"read", "store"}, "down"));
        this->pass(1s);
    }
    EXPECT_EQ(this->whole_reads, 43) << "the pause has a bound";
    EXPECT_EQ(this->failures, 42);
    EXPECT_TRUE(this->follower->is_lost());
}

TEST_F(keyed_follower_test, a_host_that_reads_beside_many_others_tries_again_more_seldom)
{
    this->longest_retry = 3s;
    this->follower->start();
    for (int count = 0; count < 8; ++count) {
        this->fail(error({"read", "store"}, "down"));
        this->pass(3s);
    }
    EXPECT_EQ(this->whole_reads, 9);
    this->fail(error({"read", "store"}, "down"));
    this->pass(2999ms);
    EXPECT_EQ(this->whole_reads, 9);
    this->pass(1ms);
    EXPECT_EQ(this->whole_reads, 10);
}

TEST_F(keyed_follower_test, nothing_is_read_while_another_host_tells_it)
{
    this->follower->start();
    this->take_list(10);
    this->is_due = false;
    this->pass(100ms);
    this->pass(100ms);
    EXPECT_TRUE(this->asked_from.empty());
    this->follower->skip_to(log_offset(30));
    this->follower->skip_to(log_offset(20));
    this->is_due = true;
    this->pass(100ms);
    EXPECT_EQ(this->asked_from, std::vector<std::uint64_t>{30});
}

} // namespace

} // namespace sailtiller
