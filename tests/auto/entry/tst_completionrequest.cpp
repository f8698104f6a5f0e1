// SPDX-License-Identifier: Apache-2.0
#include <entry/completionrequest.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

struct malformed_body
{
    const char* name;
    const char* body;
    const char* param;
};

class malformed_body_test : public testing::TestWithParam<malformed_body>
{
};

TEST_P(malformed_body_test, is_refused_with_the_field_that_is_wrong)
{
    const auto reading = read_completion_request(completion_kind::chat, GetParam().body);
    const auto* reason = std::get_if<caller_error>(&reading);
    ASSERT_NE(reason, nullptr);
    EXPECT_EQ(reason->status, 400);
    EXPECT_EQ(reason->param, GetParam().param);
    EXPECT_EQ(reason->outcome, request_outcome::not_run);
}

INSTANTIATE_TEST_SUITE_P(entry, malformed_body_test,
    testing::Values(malformed_body{"malformed", "{", ""}, malformed_body{"not_an_object", "[]", ""},
        malformed_body{"no_model", R"({"messages":[{"role":"user","content":"a"}]})", "model"},
        malformed_body{"no_messages", R"({"model":"m"})", "messages"},
        malformed_body{"empty_messages", R"({"model":"m","messages":[]})", "messages"},
        malformed_body{"message_without_role", R"({"model":"m","messages":[{"content":"a"}]})", "messages"},
        malformed_body{"stream_is_text",
            R"({"model":"m","messages":[{"role":"u","content":"a"}],"stream":"yes"})", "stream"},
        malformed_body{"no_tokens", R"({"model":"m","messages":[{"role":"u","content":"a"}],"max_tokens":0})",
            "max_tokens"},
        malformed_body{"two_choices", R"({"model":"m","messages":[{"role":"u","content":"a"}],"n":2})", "n"},
        malformed_body{
            "doubled", R"({"model":"m","model":"n","messages":[{"role":"u","content":"a"}]})", "/model"}),
    [](const auto& info) { return info.param.name; });

TEST(read_completion_request, keeps_sampling_parameters_for_the_engines)
{
    const auto reading = read_completion_request(
        completion_kind::text, R"({"model":"m","prompt":"p","temperature":0.5,"max_tokens":7})");
    const auto& request = std::get<completion_request>(reading);
    EXPECT_EQ(request.prompt, "p");
    EXPECT_EQ(request.most_tokens, 7U);
    EXPECT_EQ(request.parameters, R"({"max_tokens":7,"temperature":0.5})");
}

} // namespace

} // namespace sailtiller
