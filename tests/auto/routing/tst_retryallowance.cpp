// SPDX-License-Identifier: Apache-2.0
#include <routing/retryallowance.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

TEST(retry_allowance, fleet_stays_within_allowance_in_every_window)
{
    const std::size_t hosts = 3;
    const service_id service("s");
    std::vector<retry_allowance> allowances(
        hosts, retry_allowance({.ratio = 0.2, .slack = 30, .window = 10s}));
    for (retry_allowance& allowance : allowances) {
        allowance.set_sharing_hosts(hosts);
    }
    std::deque<time_point> requests;
    std::deque<time_point> retries;
    for (time_point now{100s}; now < time_point{160s}; now += 50ms) {
        for (retry_allowance& allowance : allowances) {
            allowance.note_request(service, now);
            requests.push_back(now);
            if (allowance.take(service, now)) {
                retries.push_back(now);
            }
        }
        while (requests.front() <= now - 10s) {
            requests.pop_front();
        }
        while (!retries.empty() && retries.front() <= now - 10s) {
            retries.pop_front();
        }
        EXPECT_LE(static_cast<double>(retries.size()), 0.2 * static_cast<double>(requests.size()) + 30);
    }
    EXPECT_GT(retries.size(), 100U) << "the allowance is used";
}

TEST(retry_allowance, restarted_host_spends_slack_once_per_window)
{
    const retry_allowance_settings settings{.ratio = 0, .slack = 20, .window = 10s};
    const service_id service("a");
    std::vector<time_point> retries;
    const auto spend_all = [&](retry_allowance& allowance, time_point now) {
        while (allowance.take(service, now)) {
            retries.push_back(now);
        }
    };
    time_point now{100s};
    retry_allowance before(settings);
    before.set_sharing_hosts(2);
    spend_all(before, now);
    EXPECT_EQ(retries.size(), 8U) << "half of the slack, less the safety margin";
    for (int start = 0; start < 3; ++start) {
        now += 2s;
        retry_allowance restarted(settings);
        restarted.note_start(now);
        restarted.set_sharing_hosts(2);
        spend_all(restarted, now);
        spend_all(restarted, now + 1s);
    }
    EXPECT_EQ(retries.size(), 8U);
    retry_allowance later(settings);
    later.note_start(now);
    later.set_sharing_hosts(2);
    spend_all(later, now + 10s);
    EXPECT_EQ(retries.size(), 16U);
}

TEST(retry_allowance, each_service_has_own_allowance)
{
    retry_allowance allowance({.ratio = 0, .slack = 2.5, .window = 10s});
    const time_point now{100s};
    EXPECT_TRUE(allowance.take(service_id("a"), now));
    EXPECT_TRUE(allowance.take(service_id("b"), now));
    EXPECT_TRUE(allowance.take(service_id("a"), now) || allowance.left(service_id("a"), now) < 1.1);
    EXPECT_FALSE(allowance.take(service_id("a"), now));
    EXPECT_TRUE(allowance.take(service_id("a"), now + 10s));
}

TEST(retry_allowance, requests_that_were_only_refused_leave_a_part_to_those_that_have_run)
{
    const service_id service("s");
    const time_point now{100s};
    retry_allowance allowance({.ratio = 0.2, .slack = 0, .window = 10s});
    for (int count = 0; count < 75; ++count) {
        allowance.note_request(service, now); // 0.8 * 0.2 * 75 = 12 retries
    }
    int refused = 0;
    while (allowance.left_for_refused(service, now) >= 1) {
        ASSERT_TRUE(allowance.take(service, now));
        ++refused;
    }
    EXPECT_EQ(refused, 7) << "half of what exceeds two is kept";
    int run = 0;
    while (allowance.take(service, now)) {
        ++run;
    }
    EXPECT_EQ(run, 5);
}

TEST(retry_allowance, a_small_allowance_is_for_all)
{
    const service_id service("s");
    const time_point now{100s};
    retry_allowance allowance({.ratio = 0, .slack = 2.5, .window = 10s});
    EXPECT_EQ(allowance.left_for_refused(service, now), allowance.left(service, now));
}

} // namespace

} // namespace sailtiller
