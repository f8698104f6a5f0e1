// SPDX-License-Identifier: Apache-2.0
#include <site/entryexchange.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

discovered_upstream decode_upstream(const std::string& name, const std::string&)
{
    discovered_upstream upstream;
    upstream.id = make_start_id(name, std::nullopt);
    upstream.address = endpoint(name);
    return upstream;
}

/// A holder of entries, and an outdated host whose queries the test answers.
class entry_exchange_test : public testing::Test
{
protected:
    site_state_hooks make_state_hooks()
    {
        site_state_hooks hooks;
        hooks.now = [this] { return this->now; };
        hooks.decode_upstream = &decode_upstream;
        hooks.on_bundle = [](const auto&) {};
        hooks.on_confirmed = [](const bundle_source&, duration) {};
        hooks.on_event = [](event_type, const std::string&, const std::string&) {};
        return hooks;
    }

    entry_exchange_hooks make_hooks()
    {
        entry_exchange_hooks hooks;
        hooks.now = [this] { return this->now; };
        hooks.ask = [this](const known_host&, const std::optional<log_offset>& known, auto on_answer) {
            this->questions.push_back({known, std::move(on_answer)});
        };
        hooks.on_applied = [this](log_offset end) { this->taken.push_back(end.value()); };
        hooks.on_malformed = [this](const known_host&, const std::string&) { ++this->malformed; };
        return hooks;
    }

    void fill_holder(std::size_t count)
    {
        std::vector<keyed_record> records;
        for (std::size_t number = 0; number < count; ++number) {
            records.push_back({"upstream-" + std::to_string(number), std::string(200, 'x')});
        }
        this->holder.apply_upstream_list(records, log_offset(count));
        this->holder.confirm_upstreams(this->now);
    }

    /// Passes to the outdated host a report of the holder for a host without entries.
    void receive_holder_report()
    {
        peer_report answer;
        answer.withheld_offset = this->holder.upstreams_end()->value();
        this->taker.note_answer(answer);
    }

    void reply_to_question(const std::optional<std::string>& bytes)
    {
        const auto question = this->questions.front();
        this->questions.erase(this->questions.begin());
        question.on_answer(bytes);
    }

    struct asked_question
    {
        std::optional<log_offset> known;
        std::function<void(const std::optional<std::string>&)> on_answer;
    };

    time_point now{100s};
    std::vector<asked_question> questions;
    std::vector<std::uint64_t> taken;
    int malformed = 0;
    site_state holder{{}, this->make_state_hooks()};
    site_state behind{{}, this->make_state_hooks()};
    entry_exchange giver{{}, this->holder, this->make_hooks()};
    entry_exchange taker{{}, this->behind, this->make_hooks()};
};

TEST_F(entry_exchange_test, queries_one_entry_holder_at_a_time)
{
    this->fill_holder(3000);
    for (int report = 0; report < 8; ++report) {
        this->receive_holder_report();
    }
    ASSERT_EQ(this->questions.size(), 1U);
    EXPECT_FALSE(this->questions[0].known.has_value());
    this->reply_to_question(this->giver.make_answer(std::nullopt));
    EXPECT_EQ(this->taken, std::vector<std::uint64_t>{3000U});
    EXPECT_EQ(this->behind.upstreams().entries().size(), 3000U);
    EXPECT_EQ(this->behind.upstreams_age(), duration(0));
    this->receive_holder_report();
    EXPECT_TRUE(this->questions.empty()) << "all entries have been received";
}

TEST_F(entry_exchange_test, queries_another_holder_after_one_without_an_answer)
{
    this->fill_holder(10);
    this->receive_holder_report();
    this->reply_to_question(std::nullopt);
    this->receive_holder_report();
    this->reply_to_question("nonsense");
    EXPECT_EQ(this->malformed, 1);
    this->receive_holder_report();
    EXPECT_EQ(this->questions.size(), 1U);
}

TEST_F(entry_exchange_test, compresses_lists_and_limits_bytes_per_interval)
{
    this->fill_holder(3000);
    std::size_t given = 0;
    int answers = 0;
    while (const std::optional<std::string> bytes = this->giver.make_answer(std::nullopt)) {
        given += bytes->size();
        ++answers;
        ASSERT_LE(bytes->size(), 3000U * 200U / 5U);
    }
    EXPECT_GE(answers, 1);
    EXPECT_LE(
        given, entry_exchange_settings().max_bytes_per_interval + given / static_cast<std::size_t>(answers));
    this->now += 100ms;
    EXPECT_TRUE(this->giver.make_answer(std::nullopt).has_value());
}

TEST_F(entry_exchange_test, reused_list_keeps_the_age_of_its_confirmation)
{
    this->fill_holder(10);
    const auto packed = this->giver.make_answer(std::nullopt);
    this->now += 400ms;
    this->holder.apply_upstream_record({"later", "x"}, log_offset(10));
    this->holder.confirm_upstreams(this->now);
    this->receive_holder_report();
    this->reply_to_question(this->giver.make_answer(std::nullopt));
    EXPECT_EQ(this->behind.upstreams_end(), log_offset(10));
    EXPECT_EQ(this->behind.upstreams_age(), duration(400ms));
    this->receive_holder_report();
    ASSERT_EQ(this->questions.size(), 1U);
    EXPECT_EQ(this->questions[0].known, log_offset(10));
    this->reply_to_question(this->giver.make_answer(log_offset(10)));
    EXPECT_EQ(this->behind.upstreams_end(), log_offset(11));
    EXPECT_EQ(this->behind.upstreams_age(), duration(0));
}

TEST_F(entry_exchange_test, sends_nothing_to_a_host_with_the_same_entries)
{
    EXPECT_FALSE(this->giver.make_answer(std::nullopt).has_value()) << "it has no entries itself";
    this->fill_holder(10);
    EXPECT_FALSE(this->giver.make_answer(log_offset(10)).has_value());
}

TEST(entry_question, round_trips_through_cbor)
{
    EXPECT_EQ(decode_entry_question(encode_entry_question(log_offset(7))), log_offset(7));
    EXPECT_FALSE(decode_entry_question(encode_entry_question(std::nullopt)).has_value());
    EXPECT_THROW(decode_entry_question("nonsense"), error);
}

} // namespace

} // namespace sailtiller
