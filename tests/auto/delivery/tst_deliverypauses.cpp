// SPDX-License-Identifier: Apache-2.0
// Deliveries to upstreams that asked this host to pause.
#include "deliveryfixture.h"

#include <delivery/plaindelivery.h>
#include <delivery/streamdelivery.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class delivery_pauses : public delivery_fixture
{
protected:
    std::shared_ptr<plain_delivery> call(route_kind kind = route_kind::single_run)
    {
        this->caller = {};
        auto delivery = std::make_shared<plain_delivery>(
            *this->context, this->make_order(kind), this->make_caller(), [this] { ++this->done; });
        delivery->start();
        return delivery;
    }

    std::shared_ptr<stream_delivery> stream(const std::optional<duration>& time_left = std::nullopt)
    {
        this->caller = {};
        delivery_order order = this->make_order(route_kind::stream);
        order.request.time_limit = time_left;
        auto delivery = std::make_shared<stream_delivery>(
            *this->context, std::move(order), this->make_caller(), [this] { ++this->done; });
        delivery->start();
        return delivery;
    }

    /// Refuses the request and asks for a pause of this many seconds.
    static void turn_away(fake_send& send, const std::string& seconds)
    {
        give_head(send, 503, {{"id", "r1"}, {"not-run", "1"}, {"pause", seconds}});
        end(send);
    }

    void pause(const std::string& id, duration length)
    {
        this->pauses.note(upstream_id(id), length, this->now);
    }

    [[nodiscard]] bool is_paused(const std::string& id) const
    {
        return this->pauses.is_paused(upstream_id(id), this->now);
    }

    static std::string target_of(const fake_send& send)
    {
        return find_header(send.message.headers, "target").value_or("");
    }
};

TEST_F(delivery_pauses, an_upstream_gets_no_requests_during_its_pause)
{
    this->put_service("a", 1);
    this->call();
    turn_away(this->last_send(), "3");
    this->put_service("b", 2);
    for (int turn = 0; turn < 28; ++turn) {
        this->call();
        EXPECT_EQ(target_of(this->last_send()), "b");
        this->pass(100ms);
    }
    this->pass(200ms);
    this->call();
    EXPECT_EQ(target_of(this->last_send()), "a") << "it has nothing else to do";
}

TEST_F(delivery_pauses, a_pause_in_an_answer_head_applies_when_the_body_is_lost)
{
    this->put_service("a", 1);
    this->call();
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}, {"pause", "3"}});
    end(this->last_send(), call_ending::broken);
    EXPECT_TRUE(this->is_paused("a"));
}

TEST_F(delivery_pauses, an_answer_to_another_request_sets_no_pause)
{
    this->put_service("a", 1);
    this->call();
    give_head(this->last_send(), 503, {{"id", "another"}, {"not-run", "1"}, {"pause", "3"}});
    EXPECT_FALSE(this->is_paused("a"));
    end(this->last_send());
}

TEST_F(delivery_pauses, a_misdirected_refusal_sets_no_pause)
{
    this->put_service("a", 1);
    this->call();
    give_head(this->last_send(), 421, {{"id", "r1"}, {"not-run", "1"}, {"pause", "3"}});
    EXPECT_FALSE(this->is_paused("a"));
    end(this->last_send());
}

TEST_F(delivery_pauses, a_call_is_refused_at_once_when_all_upstreams_are_paused)
{
    this->put_service("a", 1);
    this->put_service("b", 2);
    this->call();
    turn_away(this->last_send(), "3");
    turn_away(this->last_send(), "2");
    EXPECT_EQ(this->sends.size(), 2U);
    ASSERT_TRUE(this->caller.answer.has_value()) << "without waiting";
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "1.000");
    this->call();
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_TRUE(this->caller.answer.has_value());
}

TEST_F(delivery_pauses, retry_after_is_the_end_of_the_first_pause)
{
    this->put_service("a", 1);
    this->put_service("b", 2);
    this->pause("a", 600ms);
    this->pause("b", 400ms);
    this->call();
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "0.400");
}

TEST_F(delivery_pauses, a_call_waits_for_a_pause_that_ends_soon)
{
    this->put_service("a", 1);
    this->pause("a", 50ms);
    this->call();
    EXPECT_TRUE(this->sends.empty());
    this->pass(80ms);
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(delivery_pauses, a_call_waits_for_an_upstream_that_may_recover_first)
{
    this->put_service("a", 1);
    this->put_service("b", 2);
    this->pause("a", 3s);
    this->limits.take({upstream_id("b"), 5, duration::zero()}, this->now);
    this->grant = 1;
    this->call();
    ASSERT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(target_of(this->last_send()), "b");
}

TEST_F(delivery_pauses, a_returning_call_is_refused_when_the_pause_exceeds_its_hold_time)
{
    this->put_engine("e", 1, {0, 16});
    this->pause("e", 5s);
    this->stream(2s);
    EXPECT_TRUE(this->caller.answer.has_value());
    this->pauses = upstream_pauses();
    this->pause("e", 1s);
    this->stream(2s);
    EXPECT_FALSE(this->caller.answer.has_value()) << "it is held for longer";
    this->pass(1100ms);
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(delivery_pauses, streams_start_at_other_engines_and_may_use_a_paused_later_stage)
{
    this->put_engine("paused", 1, {0, 8});
    this->put_engine("other", 2, {0, 8});
    this->put_engine("tail", 3, {8, 16});
    this->pause("paused", 3s);
    this->pause("tail", 3s);
    for (int turn = 0; turn < 8; ++turn) {
        this->stream();
        EXPECT_EQ(target_of(this->last_send()), "other");
    }
}

TEST_F(delivery_pauses, an_answer_to_a_request_sent_before_the_pause_keeps_the_pause)
{
    this->put_engine("e", 1, {0, 16});
    this->stream();
    const std::size_t earlier = this->sends.size() - 1;
    this->stream();
    turn_away(this->last_send(), "3");
    give_head(*this->sends[earlier], 200, signed_head());
    EXPECT_TRUE(this->is_paused("e"));
    this->stream();
    EXPECT_EQ(this->sends.size(), 2U);
    end(*this->sends[earlier]);
}

TEST_F(delivery_pauses, requests_not_yet_written_are_withheld_when_a_pause_starts)
{
    this->put_service("a", 1);
    this->call();
    ASSERT_TRUE(this->last_send().handlers.may_send());
    this->pause("a", 3s);
    EXPECT_FALSE(this->last_send().handlers.may_send());
    end(this->last_send(), call_ending::not_connected);
    EXPECT_FALSE(this->loads.of(upstream_id("a")).has_failed(this->now)) << "nothing was tried";
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(delivery_pauses, a_closed_idle_connection_causes_no_resend_during_a_pause)
{
    this->put_service("a", 1);
    this->call(route_kind::repeatable);
    EXPECT_TRUE(this->last_send().handlers.may_resend());
    this->pause("a", 3s);
    EXPECT_FALSE(this->last_send().handlers.may_resend());
}

} // namespace

} // namespace sailtiller::tests
