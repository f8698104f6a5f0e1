// SPDX-License-Identifier: Apache-2.0
#include <store/recordmirror.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

std::string keys_of(const record_mirror::difference& difference)
{
    std::string keys;
    for (const keyed_record& record : difference.records) {
        keys += record.key + (record.value ? " " : "- ");
    }
    return keys;
}

TEST(record_mirror, tells_one_who_knows_nothing_everything_that_stands)
{
    record_mirror mirror;
    mirror.note({"a", "1"}, log_offset(1));
    mirror.note({"b", "1"}, log_offset(2));
    mirror.note({"a", std::nullopt}, log_offset(3));
    mirror.advance(log_offset(4));
    const record_mirror::difference all = mirror.since(std::nullopt);
    EXPECT_TRUE(all.is_whole);
    EXPECT_EQ(keys_of(all), "b ");
}

TEST(record_mirror, tells_one_who_is_behind_the_changes_and_the_removals)
{
    record_mirror mirror;
    mirror.note({"a", "1"}, log_offset(1));
    mirror.note({"b", "1"}, log_offset(2));
    mirror.note({"a", std::nullopt}, log_offset(3));
    mirror.advance(log_offset(4));
    const record_mirror::difference later = mirror.since(log_offset(2));
    EXPECT_FALSE(later.is_whole);
    EXPECT_EQ(keys_of(later), "a- b ");
    EXPECT_EQ(keys_of(mirror.since(log_offset(4))), "") << "who knows all is told nothing, again and again";
}

TEST(record_mirror, whoever_knows_less_than_a_list_is_told_all_of_it)
{
    record_mirror mirror;
    mirror.replace({{"a", "1"}, {"b", "1"}}, log_offset(10));
    EXPECT_TRUE(mirror.since(log_offset(8)).is_whole) << "that one may know a record that is gone by now";
    EXPECT_FALSE(mirror.since(log_offset(10)).is_whole);
    mirror.replace({{"a", "1"}, {"c", "1"}}, log_offset(20));
    for (const std::uint64_t known : {10U, 15U}) {
        EXPECT_TRUE(mirror.since(log_offset(known)).is_whole)
            << "it may have come to know a record between the two lists before the answer arrives";
        EXPECT_EQ(keys_of(mirror.since(log_offset(known))), "a c ");
    }
    EXPECT_FALSE(mirror.since(log_offset(20)).is_whole);
    EXPECT_EQ(keys_of(mirror.since(log_offset(20))), "");
    EXPECT_EQ(mirror.end()->value(), 20U);
}

TEST(record_mirror, a_value_that_repeats_is_told_to_those_who_may_know_another_in_between)
{
    record_mirror mirror;
    mirror.note({"a", "1"}, log_offset(1));
    mirror.advance(log_offset(2));
    mirror.note({"a", "1"}, log_offset(2));
    mirror.advance(log_offset(3));
    EXPECT_EQ(keys_of(mirror.since(log_offset(2))), "") << "nothing lies between the two";
    mirror.note({"a", "1"}, log_offset(9));
    mirror.advance(log_offset(10));
    EXPECT_EQ(keys_of(mirror.since(log_offset(5))), "a ");
}

TEST(record_mirror, forgets_old_removals_and_then_tells_everything)
{
    record_mirror mirror;
    mirror.note({"kept", "1"}, log_offset(0));
    std::uint64_t offset = 1;
    for (std::size_t count = 0; count <= record_mirror::most_removals; ++count) {
        mirror.note({"gone" + std::to_string(count), std::nullopt}, log_offset(offset++));
    }
    mirror.advance(log_offset(offset));
    EXPECT_TRUE(mirror.since(log_offset(1)).is_whole);
    EXPECT_EQ(keys_of(mirror.since(log_offset(1))), "kept ");
    EXPECT_TRUE(mirror.since(log_offset(offset - 1)).is_whole)
        << "who lacks only the last removal lacks it still";
    EXPECT_FALSE(mirror.since(log_offset(offset)).is_whole);
}

TEST(record_mirror, its_end_never_falls)
{
    record_mirror mirror;
    mirror.advance(log_offset(5));
    mirror.advance(log_offset(3));
    EXPECT_EQ(mirror.end()->value(), 5U);
}

} // namespace

} // namespace sailtiller
