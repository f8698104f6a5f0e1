// SPDX-License-Identifier: Apache-2.0
#include <runtime/metrics.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

TEST(time_histogram_family, gives_quantiles_to_the_width_of_a_bucket)
{
    time_histogram_family family("t", "help", "account", 10);
    for (int sample = 1; sample <= 100; ++sample) {
        family.record("a", 1ms * sample);
    }
    EXPECT_EQ(family.count("a"), 100U);
    EXPECT_GE(family.quantile("a", 0.95), 95ms);
    EXPECT_LE(family.quantile("a", 0.95), 126ms);
}

TEST(time_histogram_family, bounds_the_number_of_labels)
{
    time_histogram_family family("t", "help", "account", 3);
    for (int account = 0; account < 100; ++account) {
        family.record(std::to_string(account), 1ms);
    }
    EXPECT_EQ(family.label_count(), 4U);
    EXPECT_EQ(family.count("other"), 97U);
}

TEST(host_metrics, writes_text_with_escaped_labels)
{
    host_metrics metrics;
    metrics.requests.add("o\"k\n");
    metrics.record_first_token("batch", "a", 10ms);
    const std::string text = metrics.write();
    EXPECT_NE(text.find(R"(sailtiller_requests_total{outcome="o\"k "} 1)"), std::string::npos);
    EXPECT_NE(text.find(R"(sailtiller_class_first_token_seconds_count{class="batch"} 1)"), std::string::npos);
    EXPECT_NE(text.find(R"(le="+Inf"} 1)"), std::string::npos);
}

TEST(host_metrics, gives_one_account_or_all)
{
    host_metrics metrics;
    metrics.record_total("batch", "a", 10ms);
    metrics.record_total("batch", "b", 10ms);
    EXPECT_EQ(metrics.write().find("account="), std::string::npos)
        << "the page that is read often stays small";
    EXPECT_NE(metrics.write_accounts("a").find(R"(_count{account="a"} 1)"), std::string::npos);
    EXPECT_EQ(metrics.write_accounts("a").find(R"(account="b")"), std::string::npos);
    EXPECT_NE(metrics.write_accounts(std::nullopt).find(R"(account="b")"), std::string::npos);
}

} // namespace

} // namespace sailtiller
