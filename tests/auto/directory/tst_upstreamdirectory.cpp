// SPDX-License-Identifier: Apache-2.0
#include <directory/upstreamdirectory.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

const time_point start{100s};

discovered_upstream make_upstream(const std::string& id, const std::string& address = "127.0.0.1:1")
{
    discovered_upstream upstream;
    upstream.id = upstream_id(id);
    upstream.service = service_id("s");
    upstream.address = endpoint(address);
    return upstream;
}

discovered_upstream make_start(
    const std::string& name, std::uint64_t born, const std::string& address = "127.0.0.1:1")
{
    discovered_upstream upstream = make_upstream(name, address);
    upstream.born = start_moment(born);
    upstream.id = make_start_id(name, upstream.born);
    return upstream;
}

class upstream_directory_test : public testing::Test
{
protected:
    [[nodiscard]] bool has(const discovered_upstream& upstream) const
    {
        return this->directory.find(upstream.id) != nullptr;
    }

    std::vector<upstream_id> superseded;
    upstream_directory directory{2s, [this](const upstream_id& id) { this->superseded.push_back(id); }};
};

TEST_F(upstream_directory_test, repeated_entry_is_no_change_but_new_state_is)
{
    EXPECT_TRUE(this->directory.put(make_upstream("a"), start));
    EXPECT_FALSE(this->directory.put(make_upstream("a"), start + 1s));
    discovered_upstream leaving = make_upstream("a");
    leaving.is_leaving = true;
    EXPECT_TRUE(this->directory.put(leaving, start + 2s));
    EXPECT_EQ(this->directory.find(upstream_id("a"))->since, start);
}

TEST_F(upstream_directory_test, entry_vanished_from_healthy_store_is_removed_at_once)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.remove(upstream_id("a"), start + 1s);
    EXPECT_EQ(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, entry_vanished_from_disturbed_store_is_kept_for_grace_period)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.set_store_disturbed(start);
    this->directory.remove(upstream_id("a"), start + 1s);
    ASSERT_NE(this->directory.find(upstream_id("a")), nullptr);
    EXPECT_TRUE(this->directory.find(upstream_id("a"))->is_lapsed);
    EXPECT_TRUE(this->directory.drop_lapsed(start + 1900ms).empty());
    EXPECT_EQ(this->directory.drop_lapsed(start + 2s), std::vector<upstream_id>{upstream_id("a")});
    EXPECT_EQ(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, entry_that_returns_within_grace_period_stays)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.set_store_disturbed(start);
    this->directory.remove(upstream_id("a"), start + 1s);
    this->directory.put(make_upstream("a"), start + 1500ms);
    EXPECT_TRUE(this->directory.drop_lapsed(start + 5s).empty());
    EXPECT_NE(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, replacement_removes_entries_not_in_list)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.put(make_upstream("b", "127.0.0.1:2"), start);
    EXPECT_TRUE(this->directory.replace({make_upstream("b", "127.0.0.1:2")}, start + 1s));
    EXPECT_EQ(this->directory.entries().size(), 1U);
    EXPECT_FALSE(this->directory.replace({make_upstream("b", "127.0.0.1:2")}, start + 2s));
}

TEST_F(upstream_directory_test, address_belongs_to_latest_upstream)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.put(make_upstream("b"), start + 1s);
    this->directory.remove(upstream_id("a"), start + 2s);
    ASSERT_NE(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:1")), nullptr);
    EXPECT_EQ(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:1"))->upstream.id.value(), "b");
}

TEST_F(upstream_directory_test, newer_start_supersedes_older_one_of_same_name)
{
    const discovered_upstream older = make_start("a", 1000);
    const discovered_upstream newer = make_start("a", 2000);
    this->directory.put(older, start);
    EXPECT_TRUE(this->directory.put(newer, start + 1s));
    EXPECT_FALSE(this->has(older));
    EXPECT_TRUE(this->has(newer));
    EXPECT_EQ(this->superseded, std::vector<upstream_id>{older.id});
    EXPECT_FALSE(this->directory.put(older, start + 2s)) << "a late entry";
    EXPECT_TRUE(this->has(newer));
    EXPECT_FALSE(this->has(older));
}

TEST_F(upstream_directory_test, newer_start_supersedes_older_one_at_same_address_in_either_order)
{
    const discovered_upstream older = make_start("a", 1000);
    const discovered_upstream newer = make_start("b", 2000);
    this->directory.put(older, start);
    this->directory.put(newer, start + 1s);
    EXPECT_FALSE(this->has(older));
    EXPECT_FALSE(this->directory.put(older, start + 2s));
    EXPECT_EQ(this->directory.find_at(older.service, older.address)->upstream.id, newer.id);

    upstream_directory other{2s};
    EXPECT_TRUE(other.replace({newer, older}, start));
    EXPECT_EQ(other.entries().size(), 1U);
    EXPECT_NE(other.find(newer.id), nullptr);
}

TEST_F(upstream_directory_test, late_entry_of_older_start_is_ignored_after_newer_one_was_removed)
{
    const discovered_upstream older = make_start("a", 1000);
    const discovered_upstream newer = make_start("b", 2000);
    this->directory.put(newer, start);
    this->directory.remove(newer.id, start + 1s);
    EXPECT_FALSE(this->directory.put(older, start + 2s));
    EXPECT_TRUE(this->directory.entries().empty());
    this->directory.drop_lapsed(start + 120s);
    EXPECT_TRUE(this->directory.put(make_start("c", 500), start + 120s))
        << "ended starts are removed after a time";
}

TEST_F(upstream_directory_test, start_replaced_at_its_address_is_removed)
{
    const discovered_upstream older = make_start("a", 1000);
    this->directory.put(older, start);
    this->directory.mark_superseded(older.id, start + 1s);
    EXPECT_FALSE(this->has(older));
    EXPECT_EQ(this->superseded, std::vector<upstream_id>{older.id});
    EXPECT_FALSE(this->directory.put(older, start + 2s));
    EXPECT_TRUE(this->directory.put(make_start("a", 2000), start + 2s));
}

TEST_F(upstream_directory_test, of_starts_without_start_time_the_later_seen_is_newer)
{
    this->directory.put(make_upstream("a"), start);
    EXPECT_TRUE(this->directory.put(make_upstream("b"), start + 1s));
    EXPECT_EQ(this->directory.find(upstream_id("a")), nullptr);
    discovered_upstream late = make_upstream("a");
    late.held = {26, 52};
    EXPECT_FALSE(this->directory.put(late, start + 2s));
    EXPECT_EQ(this->directory.entries().size(), 1U);
}

TEST_F(upstream_directory_test, late_entry_of_start_removed_before_its_successor_is_ignored)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.remove(upstream_id("a"), start + 1s);
    this->directory.put(make_upstream("b"), start + 2s);
    EXPECT_FALSE(this->directory.put(make_upstream("a"), start + 3s));
    EXPECT_NE(this->directory.find(upstream_id("b")), nullptr);
}

TEST_F(upstream_directory_test, starts_without_start_time_seen_at_same_time_both_stay)
{
    this->directory.replace({make_upstream("a"), make_upstream("b")}, start);
    EXPECT_EQ(this->directory.entries().size(), 2U);
}

TEST_F(upstream_directory_test, entry_that_returns_without_successor_is_same_start)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.remove(upstream_id("a"), start + 1s);
    EXPECT_TRUE(this->directory.put(make_upstream("a"), start + 2s));
}

TEST_F(upstream_directory_test, entry_of_other_service_does_not_claim_address)
{
    this->directory.put(make_upstream("a"), start);
    discovered_upstream other = make_start("b", 2000);
    other.service = service_id("none of ours");
    this->directory.put(other, start + 1s);
    EXPECT_NE(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, older_start_in_list_does_not_remove_newer_one)
{
    const discovered_upstream newer = make_start("a", 2000);
    this->directory.put(newer, start);
    EXPECT_FALSE(this->directory.replace({make_start("a", 1000)}, start + 1s));
    EXPECT_TRUE(this->has(newer));
}

TEST_F(upstream_directory_test, moved_upstream_releases_old_address)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.put(make_upstream("a", "127.0.0.1:2"), start + 1s);
    EXPECT_EQ(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:1")), nullptr);
    EXPECT_NE(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:2")), nullptr);
}

TEST(start_id, ids_of_starts_differ_and_keep_name)
{
    const upstream_id first = make_start_id("i-7f3a91c2", start_moment(1764722282000));
    const upstream_id second = make_start_id("i-7f3a91c2", start_moment(1764722282001));
    EXPECT_NE(first, second);
    EXPECT_EQ(upstream_name(first), "i-7f3a91c2");
    EXPECT_EQ(upstream_name(second), "i-7f3a91c2");
    EXPECT_EQ(make_start_id("i-7f3a91c2", std::nullopt).value(), "i-7f3a91c2");
    EXPECT_EQ(upstream_name(make_start_id("a@b", std::nullopt)), "a@b");
    EXPECT_EQ(upstream_name(make_start_id("a@b", start_moment(7))), "a@b");
}

TEST(layer_span, count_holds_and_overlaps)
{
    const layer_span span{3, 7};
    EXPECT_EQ(span.count(), 4U);
    EXPECT_TRUE(span.holds(3));
    EXPECT_FALSE(span.holds(7));
    EXPECT_TRUE(span.overlaps({6, 9}));
    EXPECT_FALSE(span.overlaps({7, 9}));
    EXPECT_EQ((layer_span{7, 3}).count(), 0U);
}

} // namespace

} // namespace sailtiller
