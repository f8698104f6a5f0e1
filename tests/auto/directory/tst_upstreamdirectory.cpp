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

    std::vector<upstream_id> outlived;
    upstream_directory directory{2s, [this](const upstream_id& id) { this->outlived.push_back(id); }};
};

TEST_F(upstream_directory_test, a_repeated_entry_is_no_change_and_a_new_state_is)
{
    EXPECT_TRUE(this->directory.put(make_upstream("a"), start));
    EXPECT_FALSE(this->directory.put(make_upstream("a"), start + 1s));
    discovered_upstream leaving = make_upstream("a");
    leaving.is_leaving = true;
    EXPECT_TRUE(this->directory.put(leaving, start + 2s));
    EXPECT_EQ(this->directory.find(upstream_id("a"))->since, start);
}

TEST_F(upstream_directory_test, an_entry_that_vanishes_from_a_sound_store_is_gone_at_once)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.remove(upstream_id("a"), start + 1s);
    EXPECT_EQ(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, an_entry_that_vanishes_from_a_disturbed_store_is_believed_for_a_while)
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

TEST_F(upstream_directory_test, an_entry_that_comes_back_in_time_stays)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.set_store_disturbed(start);
    this->directory.remove(upstream_id("a"), start + 1s);
    this->directory.put(make_upstream("a"), start + 1500ms);
    EXPECT_TRUE(this->directory.drop_lapsed(start + 5s).empty());
    EXPECT_NE(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, a_whole_list_removes_what_it_lacks)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.put(make_upstream("b", "127.0.0.1:2"), start);
    EXPECT_TRUE(this->directory.replace({make_upstream("b", "127.0.0.1:2")}, start + 1s));
    EXPECT_EQ(this->directory.entries().size(), 1U);
    EXPECT_FALSE(this->directory.replace({make_upstream("b", "127.0.0.1:2")}, start + 2s));
}

TEST_F(upstream_directory_test, an_address_belongs_to_the_upstream_that_came_last)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.put(make_upstream("b"), start + 1s);
    this->directory.remove(upstream_id("a"), start + 2s);
    ASSERT_NE(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:1")), nullptr);
    EXPECT_EQ(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:1"))->upstream.id.value(), "b");
}

TEST_F(upstream_directory_test, a_younger_start_ends_the_older_one_of_its_name)
{
    const discovered_upstream old = make_start("a", 1000);
    const discovered_upstream young = make_start("a", 2000);
    this->directory.put(old, start);
    EXPECT_TRUE(this->directory.put(young, start + 1s));
    EXPECT_FALSE(this->has(old));
    EXPECT_TRUE(this->has(young));
    EXPECT_EQ(this->outlived, std::vector<upstream_id>{old.id});
    EXPECT_FALSE(this->directory.put(old, start + 2s)) << "written late";
    EXPECT_TRUE(this->has(young));
    EXPECT_FALSE(this->has(old));
}

TEST_F(upstream_directory_test, a_younger_start_ends_the_older_one_at_its_address_in_either_order)
{
    const discovered_upstream old = make_start("a", 1000);
    const discovered_upstream young = make_start("b", 2000);
    this->directory.put(old, start);
    this->directory.put(young, start + 1s);
    EXPECT_FALSE(this->has(old));
    EXPECT_FALSE(this->directory.put(old, start + 2s));
    EXPECT_EQ(this->directory.find_at(old.service, old.address)->upstream.id, young.id);

    upstream_directory other{2s};
    EXPECT_TRUE(other.replace({young, old}, start));
    EXPECT_EQ(other.entries().size(), 1U);
    EXPECT_NE(other.find(young.id), nullptr);
}

TEST_F(upstream_directory_test, a_late_entry_of_an_older_start_names_nothing_after_the_younger_one_has_gone)
{
    const discovered_upstream old = make_start("a", 1000);
    const discovered_upstream young = make_start("b", 2000);
    this->directory.put(young, start);
    this->directory.remove(young.id, start + 1s);
    EXPECT_FALSE(this->directory.put(old, start + 2s));
    EXPECT_TRUE(this->directory.entries().empty());
    this->directory.drop_lapsed(start + 120s);
    EXPECT_TRUE(this->directory.put(make_start("c", 500), start + 120s)) << "nothing is kept for ever";
}

TEST_F(upstream_directory_test, a_start_in_whose_place_another_one_answered_has_ended)
{
    const discovered_upstream old = make_start("a", 1000);
    this->directory.put(old, start);
    this->directory.mark_superseded(old.id, start + 1s);
    EXPECT_FALSE(this->has(old));
    EXPECT_EQ(this->outlived, std::vector<upstream_id>{old.id});
    EXPECT_FALSE(this->directory.put(old, start + 2s));
    EXPECT_TRUE(this->directory.put(make_start("a", 2000), start + 2s));
}

TEST_F(upstream_directory_test, of_starts_that_tell_no_moment_the_one_seen_later_is_the_younger)
{
    this->directory.put(make_upstream("a"), start);
    EXPECT_TRUE(this->directory.put(make_upstream("b"), start + 1s));
    EXPECT_EQ(this->directory.find(upstream_id("a")), nullptr);
    discovered_upstream late = make_upstream("a");
    late.held = {26, 52};
    EXPECT_FALSE(this->directory.put(late, start + 2s));
    EXPECT_EQ(this->directory.entries().size(), 1U);
}

TEST_F(upstream_directory_test, a_late_entry_of_a_start_that_had_vanished_before_the_next_one_names_nothing)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.remove(upstream_id("a"), start + 1s);
    this->directory.put(make_upstream("b"), start + 2s);
    EXPECT_FALSE(this->directory.put(make_upstream("a"), start + 3s));
    EXPECT_NE(this->directory.find(upstream_id("b")), nullptr);
}

TEST_F(upstream_directory_test, starts_that_are_first_seen_together_and_tell_no_moment_both_stay)
{
    this->directory.replace({make_upstream("a"), make_upstream("b")}, start);
    EXPECT_EQ(this->directory.entries().size(), 2U);
}

TEST_F(upstream_directory_test, an_entry_that_vanishes_and_comes_back_alone_is_the_same_start)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.remove(upstream_id("a"), start + 1s);
    EXPECT_TRUE(this->directory.put(make_upstream("a"), start + 2s));
}

TEST_F(upstream_directory_test, an_entry_of_another_service_takes_no_address_away)
{
    this->directory.put(make_upstream("a"), start);
    discovered_upstream other = make_start("b", 2000);
    other.service = service_id("none of ours");
    this->directory.put(other, start + 1s);
    EXPECT_NE(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, an_older_entry_of_a_name_in_a_list_takes_nothing_from_its_younger_start)
{
    const discovered_upstream young = make_start("a", 2000);
    this->directory.put(young, start);
    EXPECT_FALSE(this->directory.replace({make_start("a", 1000)}, start + 1s));
    EXPECT_TRUE(this->has(young));
}

TEST_F(upstream_directory_test, an_upstream_that_moves_leaves_its_address)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.put(make_upstream("a", "127.0.0.1:2"), start + 1s);
    EXPECT_EQ(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:1")), nullptr);
    EXPECT_NE(this->directory.find_at(service_id("s"), endpoint("127.0.0.1:2")), nullptr);
}

TEST(start_id, tells_starts_of_one_name_apart_and_keeps_the_name)
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

TEST(layer_span, counts_and_overlaps)
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
