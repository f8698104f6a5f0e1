// SPDX-License-Identifier: Apache-2.0
#include <entry/accountadmission.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

client_account make_account(std::uint32_t streams, double rate)
{
    client_account account;
    account.name = client_account_id("a");
    account.limits = {streams, rate};
    return account;
}

TEST(account_admission, holds_an_account_to_its_streams)
{
    account_admission admission;
    const client_account account = make_account(2, 0);
    EXPECT_FALSE(admission.admit(account, time_point()));
    EXPECT_FALSE(admission.admit(account, time_point()));
    const std::optional<admission_refusal> refusal = admission.admit(account, time_point());
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->code, "too_many_streams");
    admission.finish(account.name);
    EXPECT_FALSE(admission.admit(account, time_point()));
}

TEST(account_admission, holds_an_account_to_its_rate_and_says_when_to_come_again)
{
    account_admission admission;
    const client_account account = make_account(0, 2.0);
    int admitted = 0;
    for (int request = 0; request < 10; ++request) {
        admitted += admission.admit(account, time_point()) ? 0 : 1;
    }
    EXPECT_EQ(admitted, 2);
    const std::optional<admission_refusal> refusal = admission.admit(account, time_point());
    ASSERT_TRUE(refusal);
    EXPECT_FALSE(admission.admit(account, time_point(refusal->retry_after)));
}

TEST(account_admission, takes_an_even_share_of_the_fleets_limit)
{
    account_admission admission;
    admission.set_live_hosts(4);
    const client_account account = make_account(8, 0);
    EXPECT_FALSE(admission.admit(account, time_point()));
    EXPECT_FALSE(admission.admit(account, time_point()));
    EXPECT_TRUE(admission.admit(account, time_point()));
}

} // namespace

} // namespace sailtiller
