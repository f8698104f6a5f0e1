// SPDX-License-Identifier: Apache-2.0
#include <delivery/decisionlog.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

TEST(decision_log, forgets_the_oldest_requests_and_bounds_each)
{
    decision_log log(2, 3);
    for (int request = 0; request < 3; ++request) {
        for (int step = 0; step < 5; ++step) {
            log.note(request_id(std::to_string(request)), {time_point(), "step", "", std::to_string(step)});
        }
    }
    EXPECT_EQ(log.size(), 2U);
    EXPECT_EQ(log.find(request_id("0")), nullptr);
    ASSERT_NE(log.find(request_id("2")), nullptr);
    EXPECT_EQ(log.find(request_id("2"))->size(), 3U);
}

} // namespace

} // namespace sailtiller
