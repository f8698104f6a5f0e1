// SPDX-License-Identifier: Apache-2.0
#include <engines/sendfailure.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

TEST(send_failure, refusals_are_429_and_marked_503_only)
{
    EXPECT_TRUE(is_refusal({429, {}, ""}));
    EXPECT_TRUE(is_refusal({503, {{"x-not-run", "true"}}, ""}));
    EXPECT_FALSE(is_refusal({503, {}, ""}));
    EXPECT_FALSE(is_refusal({500, {{"x-not-run", "true"}}, ""}));
}

TEST(send_failure, reads_retry_after_in_seconds_only)
{
    EXPECT_EQ(retry_after_of({429, {{"retry-after", "60"}}, ""}), 60s);
    EXPECT_FALSE(retry_after_of({429, {{"retry-after", "Wed, 02 Dec 2026 12:00:00 GMT"}}, ""}));
    EXPECT_FALSE(retry_after_of({429, {{"retry-after", "-1"}}, ""}));
    EXPECT_FALSE(retry_after_of({429, {}, ""}));
}

TEST(send_failure, failure_before_sending_counts_as_not_sent)
{
    EXPECT_EQ(
        to_send_failure({http_progress::not_sent, "connect", ""}, "a").certainty, send_certainty::not_sent);
    EXPECT_EQ(
        to_send_failure({http_progress::sent, "read", ""}, "a").certainty, send_certainty::may_have_run);
}

} // namespace

} // namespace sailtiller
