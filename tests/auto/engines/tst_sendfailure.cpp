// SPDX-License-Identifier: Apache-2.0
#include <engines/sendfailure.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

TEST(send_failure, only_statuses_that_mean_so_are_taken_for_not_run)
{
    EXPECT_TRUE(is_refusal({429, {}, ""}));
    EXPECT_TRUE(is_refusal({503, {{"x-not-run", "true"}}, ""}));
    EXPECT_FALSE(is_refusal({503, {}, ""}));
    EXPECT_FALSE(is_refusal({500, {{"x-not-run", "true"}}, ""}));
}

TEST(send_failure, reads_a_retry_after_in_seconds_and_nothing_else)
{
    EXPECT_EQ(retry_after_of({429, {{"retry-after", "60"}}, ""}), 60s);
    EXPECT_FALSE(retry_after_of({429, {{"retry-after", "Wed, 02 Dec 2026 12:00:00 GMT"}}, ""}));
    EXPECT_FALSE(retry_after_of({429, {{"retry-after", "-1"}}, ""}));
    EXPECT_FALSE(retry_after_of({429, {}, ""}));
}

TEST(send_failure, a_failure_before_the_connection_was_made_was_not_sent)
{
    EXPECT_EQ(
        to_send_failure({http_progress::not_sent, "connect", ""}, "a").certainty, send_certainty::not_sent);
    EXPECT_EQ(
        to_send_failure({http_progress::sent, "read", ""}, "a").certainty, send_certainty::may_have_run);
}

} // namespace

} // namespace sailtiller
