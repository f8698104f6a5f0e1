// SPDX-License-Identifier: Apache-2.0
#include <delivery/eventsplitter.h>

#include <gtest/gtest.h>

#include <chrono>

namespace sailtiller {

namespace {

TEST(event_splitter, returns_events_once_complete)
{
    event_splitter splitter;
    EXPECT_TRUE(splitter.take("id: 4\nda").empty());
    EXPECT_TRUE(splitter.has_partial_event());
    const std::vector<stream_event> events = splitter.take("ta: x\n\nid: 5\ndata: y\n\nid:");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].text, "id: 4\ndata: x\n\n");
    EXPECT_EQ(events[0].id, event_id("4"));
    EXPECT_EQ(events[1].id, event_id("5"));
    EXPECT_TRUE(splitter.has_partial_event());
}

TEST(event_splitter, takes_one_byte_at_a_time)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    event_splitter splitter;
    std::string joined;
    std::size_t count = 0;
    for (const char byte : text) {
        for (const stream_event& event : splitter.take({&byte, 1})) {
            joined += event.text;
            ++count;
        }
    }
    EXPECT_EQ(joined, text);
    EXPECT_EQ(count, 2U);
    EXPECT_FALSE(splitter.has_partial_event());
}

TEST(event_splitter, accepts_missing_ids_and_ids_that_no_header_carries)
{
    event_splitter splitter;
    const std::string largest(max_event_id_bytes, '1');
    const std::vector<stream_event> events =
        splitter.take("data: id: 7\n\nid: a\tb\n\nid:\n\nid: 1" + largest + "\n\n");
    ASSERT_EQ(events.size(), 4U);
    for (const stream_event& event : events) {
        EXPECT_FALSE(event.id.has_value()) << event.text.substr(0, 20);
    }
    EXPECT_EQ(splitter.take("id:" + largest + "\n\n").at(0).id, event_id(largest));
}

// Guards against resuming after an older event because the id of the last one didn't fit a whole number.
TEST(event_splitter, reads_ids_as_they_are)
{
    for (const char* id : {"1764860000012", "18446744073709551615", "18446744073709551616", "007", "seven",
             "12abc", "[{\"offset\": 1}]"}) {
        event_splitter splitter;
        const std::vector<stream_event> events =
            splitter.take("data: x\nid: 1\nid: " + std::string(id) + " \r\n\r\n");
        ASSERT_EQ(events.size(), 1U);
        EXPECT_EQ(events[0].id, event_id(id)) << "the last field counts";
    }
}

TEST(event_splitter, tells_events_with_data_from_others)
{
    event_splitter splitter;
    const std::vector<stream_event> events =
        splitter.take("\xEF\xBB\xBFid: 1\n\n: data\n\ndata\n\nid: 2\ndata:\n\n");
    ASSERT_EQ(events.size(), 4U);
    EXPECT_EQ(events[0].id, event_id("1"));
    EXPECT_FALSE(events[0].has_data);
    EXPECT_FALSE(events[1].has_data);
    EXPECT_TRUE(events[2].has_data);
    EXPECT_TRUE(events[3].has_data);
}

TEST(event_splitter, stops_at_an_event_that_is_too_large)
{
    event_splitter splitter;
    const std::string largest = "data: " + std::string(max_event_bytes - 8, 'x') + "\n\n";
    EXPECT_EQ(splitter.take(largest).size(), 1U);
    EXPECT_FALSE(splitter.fault().has_value());
    EXPECT_EQ(splitter.take("id: 1\n\ndata: " + std::string(max_event_bytes, 'x')).size(), 1U);
    EXPECT_EQ(splitter.fault(), answer_fault::event_bytes);
    EXPECT_TRUE(splitter.take("\n\nid: 2\n\n").empty());
    splitter.clear();
    EXPECT_EQ(splitter.take("id: 2\n\n").size(), 1U);
    EXPECT_TRUE(splitter.take("x" + largest).empty()) << "also if its end has come";
    EXPECT_EQ(splitter.fault(), answer_fault::event_bytes);
}

TEST(event_splitter, stops_at_what_is_no_event)
{
    for (const char* bytes : {"no event at all\n\n", "{\"a\": 1}\n\n", "id: 2\n\x01\x02\n\n"}) {
        event_splitter splitter;
        EXPECT_EQ(splitter.take(std::string("id: 1\ndata: x\n\n") + bytes + "id: 3\n\n").size(), 1U) << bytes;
        EXPECT_EQ(splitter.fault(), answer_fault::event_form) << bytes;
    }
}

TEST(event_splitter, accepts_every_field_and_comment)
{
    event_splitter splitter;
    EXPECT_EQ(
        splitter.take("\xEF\xBB\xBFid: 1\n\n: comment, with words\n\nversions: 7\ndata\nx-a_B2:\n\n").size(),
        3U);
    EXPECT_EQ(splitter.take("data: {\"a b\": \"\xC3\xA4\"}\r\nretry: 1\r\n\r\n\n\n").size(), 2U);
    EXPECT_FALSE(splitter.fault().has_value());
}

TEST(event_splitter, takes_many_small_events_at_once)
{
    constexpr std::size_t count = 100'000;
    std::string text;
    for (std::size_t number = 0; number < count; ++number) {
        text += "data: x\n\n";
    }
    event_splitter splitter;
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(splitter.take(text).size(), count);
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(2));
}

} // namespace

} // namespace sailtiller
