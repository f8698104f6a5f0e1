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

class upstream_directory_test : public testing::Test
{
protected:
    upstream_directory directory{2s};
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
    EXPECT_FALSE(this->directory.drop_lapsed(start + 1900ms));
    EXPECT_TRUE(this->directory.drop_lapsed(start + 2s));
    EXPECT_EQ(this->directory.find(upstream_id("a")), nullptr);
}

TEST_F(upstream_directory_test, an_entry_that_comes_back_in_time_stays)
{
    this->directory.put(make_upstream("a"), start);
    this->directory.set_store_disturbed(start);
    this->directory.remove(upstream_id("a"), start + 1s);
    this->directory.put(make_upstream("a"), start + 1500ms);
    EXPECT_FALSE(this->directory.drop_lapsed(start + 5s));
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
    ASSERT_NE(this->directory.find_by_address(endpoint("127.0.0.1:1")), nullptr);
    EXPECT_EQ(this->directory.find_by_address(endpoint("127.0.0.1:1"))->upstream.id.value(), "b");
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
