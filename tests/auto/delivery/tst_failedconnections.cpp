// SPDX-License-Identifier: Apache-2.0
#include "streamdeliveryfixture.h"

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class failed_connections_test : public stream_delivery_fixture
{
protected:
    failed_connections_test()
    {
        this->put_engine("other", 3, {0, 8});
        this->watch->start();
    }

    /// Starts a stream every `interval` for `time` while "head" refuses connections. Returns the number of
    /// sends to it.
    std::size_t start_streams(duration time, duration interval)
    {
        std::size_t failed = 0;
        const time_point end_of_starts = this->now + time;
        while (this->now < end_of_starts) {
            this->running.push_back(this->start());
            while (this->last_target().value() == "head" && !this->last_send().is_cancelled) {
                ++failed;
                end(this->last_send(), call_ending::not_connected);
            }
            give_head(this->last_send(), 200, signed_head());
            this->last_send().handlers.on_body(events(0, 1));
            end(this->last_send());
            this->pass(interval);
        }
        return failed;
    }

    [[nodiscard]] bool is_used(const std::string& id, duration after) const
    {
        return this->loads.of(upstream_id(id)).accepts_requests(this->now + after);
    }

    /// Sends a stream to "head" that finds no connection.
    void fail_at_head()
    {
        this->loads.avoid(upstream_id("other"), this->now + 1ms);
        this->running.push_back(this->start());
        ASSERT_EQ(this->last_target().value(), "head");
        end(this->last_send(), call_ending::not_connected);
    }

    std::vector<std::shared_ptr<stream_delivery>> running;
};

// Guards against a fleet that sends 190 requests per second to an engine that refuses connections, as each
// host tried it again four times per second.
TEST_F(failed_connections_test, an_engine_that_refuses_connections_is_tried_rarely)
{
    EXPECT_LE(this->start_streams(3s, 25ms), 2U) << "once more after the first 1.5 s";
    EXPECT_LE(this->start_streams(9s, 25ms), 2U) << "the time doubles";
}

TEST_F(failed_connections_test, streams_over_the_engine_show_that_it_lives)
{
    this->loads.avoid(upstream_id("other"), this->now + 1ms);
    this->running.push_back(this->start_streaming(1)); // over head
    ASSERT_EQ(this->last_target().value(), "head");
    this->fail_at_head();
    EXPECT_FALSE(this->is_used("head", 249ms));
    EXPECT_TRUE(this->is_used("head", 250ms)) << "as if it were full";
}

TEST_F(failed_connections_test, an_engine_is_probed_although_it_has_answered_a_moment_ago)
{
    const upstream_id head("head");
    this->watch->prober().note_reported_alive(head, 1, this->now);
    this->fail_at_head();
    this->pass(20ms);
    EXPECT_EQ(std::count(this->probed.begin(), this->probed.end(), "head"), 1);
}

TEST_F(failed_connections_test, many_late_streams_leave_a_probe_for_an_engine_without_connections)
{
    this->watch->prober().set_live_hosts(87);
    for (int number = 0; number < 200; ++number) {
        this->watch->prober().ask(upstream_id("late" + std::to_string(number)));
    }
    this->fail_at_head();
    this->pass(20ms);
    EXPECT_EQ(std::count(this->probed.begin(), this->probed.end(), "head"), 1);
}

} // namespace

} // namespace sailtiller::tests
