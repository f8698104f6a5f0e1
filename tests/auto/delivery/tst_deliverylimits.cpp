// SPDX-License-Identifier: Apache-2.0
// Deliveries to upstreams that set a limit on requests per second from all hosts.
#include "deliveryfixture.h"

#include <delivery/plaindelivery.h>
#include <delivery/streamdelivery.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class delivery_limits : public delivery_fixture
{
protected:
    std::shared_ptr<plain_delivery> call(route_kind kind = route_kind::single_run)
    {
        auto delivery = std::make_shared<plain_delivery>(
            *this->context, this->make_order(kind), this->make_caller(), [this] { ++this->done; });
        delivery->start();
        return delivery;
    }

    std::shared_ptr<stream_delivery> stream()
    {
        auto delivery = std::make_shared<stream_delivery>(*this->context,
            this->make_order(route_kind::stream), this->make_caller(), [this] { ++this->done; });
        delivery->start();
        return delivery;
    }

    void limit(const std::string& id, double rate)
    {
        this->limits.take({upstream_id(id), rate, duration::zero()}, this->now);
    }

    std::optional<double> limit_of(const std::string& id) { return this->limits.limit_of(upstream_id(id)); }

    static std::string target_of(const fake_send& send)
    {
        return find_header(send.message.headers, "target").value_or("");
    }

    static http_headers limited_head(const std::string& limit)
    {
        http_headers head = signed_head();
        head.push_back({"limit", limit});
        return head;
    }
};

TEST_F(delivery_limits, answers_of_any_kind_name_a_limit_until_one_names_none)
{
    this->put_service("a", 1);
    this->grant = 1;
    this->call();
    give_head(this->last_send(), 500, limited_head("4.5"));
    end(this->last_send());
    EXPECT_EQ(this->limit_of("a"), 4.5);
    this->pass(1s);
    this->call();
    give_head(this->last_send(), 200, signed_head());
    end(this->last_send());
    EXPECT_EQ(this->limit_of("a"), std::nullopt);
}

TEST_F(delivery_limits, a_stream_applies_the_limit_in_the_head_of_its_answer)
{
    this->put_engine("e", 1, {0, 16});
    this->stream();
    give_head(this->last_send(), 200, limited_head("2"));
    EXPECT_EQ(this->limit_of("e"), 2);
    end(this->last_send());
}

TEST_F(delivery_limits, an_answer_to_a_request_sent_before_the_limit_keeps_the_limit)
{
    this->put_service("a", 1);
    this->call();
    this->pass(20ms);
    this->limit("a", 3);
    give_head(this->last_send(), 200, signed_head());
    end(this->last_send());
    EXPECT_EQ(this->limit_of("a"), 3);
}

TEST_F(delivery_limits, a_misdirected_refusal_sets_no_limit_for_the_target)
{
    this->put_service("a", 1);
    this->call();
    give_head(this->last_send(), 421, {{"id", "r1"}, {"not-run", "1"}, {"limit", "3"}});
    EXPECT_EQ(this->limit_of("a"), std::nullopt);
    end(this->last_send());
}

TEST_F(delivery_limits, a_call_goes_to_an_upstream_with_limit_remaining)
{
    this->put_service("a", 1);
    this->put_service("b", 2);
    this->limit("a", 1);
    for (int turn = 0; turn < 5; ++turn) {
        this->call();
        EXPECT_EQ(target_of(this->last_send()), "b");
    }
    this->grant = 1;
    this->pass(1s);
    this->call();
    EXPECT_EQ(target_of(this->last_send()), "a") << "it has nothing else to do";
    this->call();
    EXPECT_EQ(target_of(this->last_send()), "b") << "one was granted";
}

TEST_F(delivery_limits, a_call_is_refused_at_once_when_all_limits_are_used_up)
{
    this->put_service("a", 1);
    this->limit("a", 1);
    this->call();
    EXPECT_TRUE(this->sends.empty());
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_TRUE(find_header(this->caller.answer->headers, "retry-after").has_value());
    EXPECT_EQ(this->done, 1);
}

TEST_F(delivery_limits, a_stream_starts_at_an_engine_with_limit_remaining)
{
    this->put_engine("limited", 1, {0, 8});
    this->put_engine("other", 2, {0, 8});
    this->put_engine("tail", 3, {8, 16});
    this->limit("limited", 1);
    for (int turn = 0; turn < 8; ++turn) {
        this->stream();
        EXPECT_EQ(target_of(this->last_send()), "other");
    }
}

TEST_F(delivery_limits, a_limit_of_a_later_stage_does_not_delay_a_stream)
{
    this->put_engine("head", 1, {0, 8});
    this->put_engine("tail", 2, {8, 16});
    this->limit("tail", 1);
    this->stream();
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(delivery_limits, a_stream_is_refused_at_once_when_no_engine_may_start_it)
{
    this->put_engine("e", 1, {0, 16});
    this->limit("e", 1);
    this->stream();
    EXPECT_TRUE(this->sends.empty());
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(delivery_limits, a_returning_caller_waits_for_a_limit_share)
{
    this->put_engine("e", 1, {0, 16});
    this->limit("e", 1);
    delivery_order order = this->make_order(route_kind::stream);
    order.request.time_limit = 2s; // the route allows 3 s
    auto delivery = std::make_shared<stream_delivery>(
        *this->context, std::move(order), this->make_caller(), [this] { ++this->done; });
    delivery->start();
    this->pass(200ms);
    EXPECT_FALSE(this->caller.answer.has_value());
    this->grant = 1;
    this->pass(900ms);
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(delivery_limits, a_resend_after_a_closed_connection_counts_against_the_limit)
{
    this->put_service("a", 1);
    this->call(route_kind::repeatable);
    EXPECT_TRUE(this->last_send().handlers.may_resend());
    this->call(route_kind::repeatable);
    this->limit("a", 1);
    EXPECT_FALSE(this->last_send().handlers.may_resend());
}

} // namespace

} // namespace sailtiller::tests
