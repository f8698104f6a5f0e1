// SPDX-License-Identifier: Apache-2.0
#include <routing/accountindex.h>
#include <support/samplebundle.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

TEST(account_index, finds_account_by_key_and_none_for_unknown_keys)
{
    const bundle content = tests::make_sample_bundle({.accounts = 20});
    const account_index index(content);
    ASSERT_NE(index.find_by_key("key-7"), nullptr);
    EXPECT_EQ(index.find_by_key("key-7")->name, client_account_id("account-7"));
    EXPECT_EQ(index.find_by_key("key-20"), nullptr);
    EXPECT_EQ(index.find_by_key(""), nullptr);
}

} // namespace

} // namespace sailtiller
