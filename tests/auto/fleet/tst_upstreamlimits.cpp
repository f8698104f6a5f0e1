// SPDX-License-Identifier: Apache-2.0
#include <fleet/upstreamlimits.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class upstream_limits_test : public testing::Test
{
protected:
    void take(const std::string& id, std::optional<double> rate, duration age = duration::zero())
    {
        this->limits.take({upstream_id(id), rate, age}, this->now);
    }

    std::optional<double> limit(const std::string& id) { return this->limits.limit_of(upstream_id(id)); }

    time_point now{std::chrono::seconds(1000)};
    std::vector<limit_statement> changes;
    upstream_limits limits{
        {.most_records = 3}, [this](const limit_statement& item) { this->changes.push_back(item); }};
};

TEST_F(upstream_limits_test, a_limit_holds_until_an_answer_names_another_one_or_none)
{
    EXPECT_TRUE(this->limits.is_empty());
    this->take("e1", 4.5);
    EXPECT_EQ(this->limit("e1"), 4.5);
    EXPECT_FALSE(this->limits.is_empty());
    this->take("e1", 1);
    this->take("e1", 1);
    this->take("e1", std::nullopt);
    EXPECT_EQ(this->limit("e1"), std::nullopt);
    EXPECT_TRUE(this->limits.is_empty());
    EXPECT_EQ(this->changes.size(), 3U);
}

TEST_F(upstream_limits_test, the_younger_of_two_statements_counts)
{
    this->take("e1", 4.5);
    // The answer was delayed.
    this->take("e1", std::nullopt, 200ms);
    EXPECT_EQ(this->limit("e1"), 4.5);
    this->now += 1s;
    this->take("e1", std::nullopt, 200ms);
    EXPECT_EQ(this->limit("e1"), std::nullopt);
    this->take("e1", 4.5, 1s);
    EXPECT_EQ(this->limit("e1"), std::nullopt) << "another host has yet to hear that it ended";
    this->take("e1", 2, 100ms);
    EXPECT_EQ(this->limit("e1"), 2);
}

TEST_F(upstream_limits_test, upstreams_without_a_limit_are_not_recorded)
{
    this->take("e1", std::nullopt);
    EXPECT_EQ(this->limits.record_count(), 0U);
    EXPECT_EQ(this->limits.statement_of(upstream_id("e1"), this->now).age, duration::max());
}

TEST_F(upstream_limits_test, what_is_remembered_is_bounded_and_ends_with_the_upstream)
{
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
        this->take(id, 5);
    }
    EXPECT_EQ(this->limits.record_count(), 3U);
    const auto is_known = [](const upstream_id& id) { return id.value() != "e1"; };
    this->limits.forget(is_known, this->now);
    EXPECT_EQ(this->limits.record_count(), 2U);
    EXPECT_EQ(this->limit("e1"), std::nullopt);
    this->take("e2", std::nullopt);
    this->take("e3", std::nullopt);
    this->now += 59s;
    this->limits.forget(is_known, this->now);
    EXPECT_EQ(this->limits.record_count(), 2U) << "it outweighs what others have yet to hear";
    this->now += 2s;
    this->limits.forget(is_known, this->now);
    EXPECT_EQ(this->limits.record_count(), 0U);
    EXPECT_TRUE(this->limits.is_empty());
}

} // namespace

} // namespace sailtiller::tests
