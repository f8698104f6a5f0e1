// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <relay/relaymessages.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

relayed_request make_request()
{
    relayed_request request;
    request.target = {upstream_id("u"), endpoint("127.0.0.1:1"), request_id("r")};
    request.may_repeat = true;
    request.message.method = "POST";
    request.message.path = "/a?b=c";
    request.message.headers = {{"host", "h.example"}, {"x-any", "1"}};
    request.message.body = "body";
    return request;
}

/// As the other host's server reads it.
http_request receive(const relayed_request& request)
{
    http_request message = encode_relay_request(request);
    message.authority = message.headers.front().value;
    message.headers.erase(message.headers.begin());
    message.headers.push_back({"content-length", "4"});
    return message;
}

TEST(relay_messages, a_request_arrives_as_it_was_sent)
{
    const relayed_request sent = make_request();
    const relayed_request read = decode_relay_request(receive(sent));
    EXPECT_EQ(read.target.id, sent.target.id);
    EXPECT_EQ(read.target.address, sent.target.address);
    EXPECT_EQ(read.target.request, sent.target.request);
    EXPECT_TRUE(read.may_repeat);
    EXPECT_EQ(read.message.method, "POST");
    EXPECT_EQ(read.message.path, "/a?b=c");
    EXPECT_EQ(read.message.body, "body");
    ASSERT_EQ(read.message.headers.size(), 2U);
    EXPECT_EQ(find_header(read.message.headers, "host"), "h.example");
    EXPECT_EQ(find_header(read.message.headers, "x-any"), "1");
}

TEST(relay_messages, a_request_tells_whether_its_answer_may_contain_keep_alives)
{
    relayed_request request = make_request();
    EXPECT_FALSE(decode_relay_request(receive(request)).takes_keep_alive);
    request.takes_keep_alive = true;
    const relayed_request read = decode_relay_request(receive(request));
    EXPECT_TRUE(read.takes_keep_alive);
    EXPECT_EQ(read.message.headers.size(), 2U) << "the upstream doesn't get the header";
}

TEST(relay_messages, a_request_without_a_target_is_malformed)
{
    EXPECT_THROW(decode_relay_request(make_request().message), error);
}

TEST(relay_messages, a_head_is_read_from_any_cut_of_the_bytes)
{
    const std::string keep_alive(relay_keep_alive_line);
    const std::string text = std::string(relay_accepted_line) + keep_alive + keep_alive
        + encode_relay_head({std::nullopt, 200, {{"a", "b\xc3\xa4"}}}) + keep_alive
        + encode_relay_body("data: 1\n\n") + keep_alive + encode_relay_body("12\n") + keep_alive
        + encode_relay_end({true, {}});
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        relay_answer_reader reader;
        std::string all;
        std::optional<relay_head> head;
        std::optional<relay_end> end;
        for (const std::string& bytes : {text.substr(0, cut), text.substr(cut)}) {
            const relay_answer_part part = reader.take(bytes);
            head = part.head ? part.head : head;
            end = part.end ? part.end : end;
            all += part.body;
        }
        ASSERT_TRUE(head) << cut;
        EXPECT_EQ(head->status, 200);
        EXPECT_EQ(find_header(head->headers, "a"), "b\xc3\xa4");
        EXPECT_EQ(all, "data: 1\n\n12\n") << cut;
        ASSERT_TRUE(end) << cut;
        EXPECT_TRUE(end->is_whole);
    }
}

TEST(relay_messages, an_upstream_that_breaks_off_before_its_head_is_told)
{
    relay_answer_reader reader;
    const relay_answer_part part =
        reader.take(std::string(relay_accepted_line) + encode_relay_end({false, "reset"}));
    EXPECT_FALSE(part.head);
    ASSERT_TRUE(part.end);
    EXPECT_FALSE(part.end->is_whole);
    EXPECT_EQ(part.end->reason, "reset");
}

TEST(relay_messages, malformed_answers_are_errors)
{
    for (const char* text : {"x", "\nnot json\n", "\n{}\n", "\n{\"status\":\"a\",\"headers\":[]}\n",
             "\n{\"status\":200,\"headers\":[[1]]}\n", "\n[]\n", "\n{\"whole\":1,\"reason\":\"\"}\n",
             "\n{\"whole\":true,\"reason\":\"\"}\n", "\n{\"failure\":\"f\"}\n1\na",
             "\n{\"status\":0,\"headers\":[]}\n", "\n{\"status\":100,\"headers\":[]}\n",
             "\n{\"status\":600,\"headers\":[]}\n", "\n{\"status\":200,\"headers\":[[\"x y\",\"a\"]]}\n",
             "\n{\"status\":200,\"headers\":[[\"x\",\"a\\r\\nb: c\"]]}\n"}) {
        relay_answer_reader reader;
        EXPECT_THROW(reader.take(text), error) << text;
    }
    const std::string head = "\n" + encode_relay_head({std::nullopt, 200, {}});
    for (const std::string& text : {std::string("\n"), std::string("-1\n"), std::string("1x\n"),
             std::string("99999999999999999999999\n"), encode_relay_head({std::nullopt, 200, {}}),
             encode_relay_end({true, {}}) + "1\na"}) {
        relay_answer_reader reader;
        EXPECT_THROW(reader.take(head + text), error) << text;
    }
    relay_answer_reader reader;
    EXPECT_THROW(reader.take("\n" + std::string(1U << 20U, 'a')), error);
}

} // namespace

} // namespace sailtiller
