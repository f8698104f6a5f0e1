// SPDX-License-Identifier: Apache-2.0
#include <delivery/eventsplitter.h>

#include <gtest/gtest.h>

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
    EXPECT_EQ(*events[0].id, 4U);
    EXPECT_EQ(*events[1].id, 5U);
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

TEST(event_splitter, accepts_missing_and_malformed_ids)
{
    event_splitter splitter;
    const std::vector<stream_event> events = splitter.take("data: id: 7\n\nid: seven\n\n");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_FALSE(events[0].id.has_value());
    EXPECT_FALSE(events[1].id.has_value());
}

} // namespace

} // namespace sailtiller
