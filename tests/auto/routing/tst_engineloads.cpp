// SPDX-License-Identifier: Apache-2.0
#include <routing/engineloads.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

class unreachable_upstream_test : public testing::Test
{
protected:
    void fail_at(time_point at) { this->loads.note_unreachable(this->id, at, 1500ms, 6s); }
    [[nodiscard]] bool is_used(time_point at) const { return this->loads.of(this->id).accepts_requests(at); }

    const upstream_id id{"a"};
    const time_point start{100s};
    engine_loads loads;
};

TEST_F(unreachable_upstream_test, gets_no_requests_for_a_time_that_doubles_up_to_the_longest)
{
    time_point now = this->start;
    for (const duration pause : {1500ms, 3000ms, 6000ms, 6000ms}) {
        this->fail_at(now);
        this->fail_at(now + 1ms); // a request that was sent at the same time
        EXPECT_FALSE(this->is_used(now + pause - 1ms));
        EXPECT_TRUE(this->is_used(now + pause));
        now += pause;
    }
    EXPECT_FALSE(this->loads.of(this->id).has_failed(this->start)) << "running requests may keep it";
}

TEST_F(unreachable_upstream_test, is_used_again_at_a_sign_of_life_after_the_failure)
{
    this->fail_at(this->start);
    this->loads.note_alive(this->id, this->start);
    EXPECT_FALSE(this->is_used(this->start + 1s)) << "the sign may precede the failure";
    this->loads.note_alive(this->id, this->start + 1ms);
    EXPECT_TRUE(this->is_used(this->start + 1s));
    this->fail_at(this->start + 1s);
    EXPECT_FALSE(this->is_used(this->start + 3999ms)) << "it has served no request since";
    this->loads.resume(this->id);
    this->fail_at(this->start + 2s);
    EXPECT_TRUE(this->is_used(this->start + 3500ms));
}

TEST_F(unreachable_upstream_test, is_used_again_when_this_host_itself_had_no_way)
{
    this->fail_at(this->start);
    this->loads.forget_unreachable(this->id);
    EXPECT_TRUE(this->is_used(this->start));
    this->fail_at(this->start);
    EXPECT_TRUE(this->is_used(this->start + 1500ms)) << "the first failure was not the upstream's";
}

} // namespace

} // namespace sailtiller
