// SPDX-License-Identifier: Apache-2.0
#include "deliverybed.h"

#include <delivery/plaindelivery.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class plain_delivery_test : public delivery_bed
{
protected:
    plain_delivery_test()
    {
        this->put_service("a", 1);
        this->put_service("b", 2);
        this->put_service("c", 3);
    }

    std::shared_ptr<plain_delivery> start(route_kind kind)
    {
        auto delivery = std::make_shared<plain_delivery>(
            *this->context, this->make_order(kind), this->make_caller(), [this] { ++this->done; });
        delivery->start();
        return delivery;
    }

    static void answer(fake_send& send, int status, const http_headers& headers = signed_head())
    {
        give_head(send, status, headers);
        send.handlers.on_body("body");
        end(send);
    }

    static std::string target_of(const fake_send& send)
    {
        return find_header(send.message.headers, "target").value_or("");
    }
};

TEST_F(plain_delivery_test, passes_a_whole_answer_on_unchanged)
{
    this->start(route_kind::single_run);
    answer(this->last_send(), 200);
    EXPECT_EQ(this->caller.answer->status, 200);
    EXPECT_EQ(this->caller.answer->body, "body");
    EXPECT_EQ(find_header(this->caller.answer->headers, "proof"), "p");
    EXPECT_EQ(this->done, 1);
}

TEST_F(plain_delivery_test, tells_that_the_upstream_of_an_answer_leaves)
{
    this->start(route_kind::single_run);
    const std::string target = target_of(this->last_send());
    answer(this->last_send(), 200, {{"id", "r1"}, {"proof", "p"}, {"leaving", "1"}});
    EXPECT_EQ(this->leaving, std::vector{target});
    this->start(route_kind::single_run);
    answer(this->last_send(), 200, {{"id", "another"}, {"proof", "p"}, {"leaving", "1"}});
    this->start(route_kind::single_run);
    answer(this->last_send(), 421, {{"id", "r1"}, {"not-run", "1"}, {"leaving", "1"}});
    EXPECT_EQ(this->leaving.size(), 1U) << "neither was an answer of the upstream that was meant";
}

TEST_F(plain_delivery_test, a_single_run_gets_a_connection_of_its_own)
{
    this->start(route_kind::single_run);
    EXPECT_FALSE(this->last_send().may_repeat);
    EXPECT_FALSE(this->last_send().handlers.may_resend);
    this->start(route_kind::repeatable);
    EXPECT_TRUE(this->last_send().may_repeat);
}

TEST_F(plain_delivery_test, a_single_run_that_may_have_run_is_never_sent_again)
{
    this->start(route_kind::single_run);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->caller.answer->status, 502) << "502 promises nothing";
}

TEST_F(plain_delivery_test, an_answer_to_another_request_proves_nothing_about_this_one)
{
    this->start(route_kind::single_run);
    answer(this->last_send(), 200, signed_head("someone-else"));
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->caller.answer->status, 502);
}

TEST_F(plain_delivery_test, a_single_run_that_surely_did_not_run_goes_to_another)
{
    this->start(route_kind::single_run);
    answer(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_NE(target_of(*this->sends[0]), target_of(*this->sends[1]));
    end(this->last_send(), call_ending::not_connected);
    ASSERT_EQ(this->sends.size(), 3U);
    answer(this->last_send(), 200);
    EXPECT_EQ(this->caller.answer->status, 200);
}

TEST_F(plain_delivery_test, when_nobody_ran_it_the_refusal_says_so)
{
    this->start(route_kind::single_run);
    for (std::size_t number = 0; number < 3; ++number) {
        ASSERT_EQ(this->sends.size(), number + 1);
        answer(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    }
    this->pass(200ms);
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_TRUE(find_header(this->caller.answer->headers, "retry-after").has_value());
}

TEST_F(plain_delivery_test, a_failure_of_a_single_run_is_passed_on_as_it_is)
{
    this->start(route_kind::single_run);
    answer(this->last_send(), 500);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->caller.answer->status, 500);
    EXPECT_EQ(this->caller.answer->body, "body");
}

TEST_F(plain_delivery_test, a_repeatable_failure_is_tried_elsewhere_within_its_attempts)
{
    this->start(route_kind::repeatable);
    answer(this->last_send(), 500);
    ASSERT_EQ(this->sends.size(), 2U);
    answer(this->last_send(), 500);
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(this->caller.answer->status, 500);
}

TEST_F(plain_delivery_test, a_refusal_of_a_request_that_was_sent_again_tells_nothing_of_its_first_copy)
{
    this->start(route_kind::repeatable);
    ASSERT_TRUE(this->last_send().handlers.may_resend());
    answer(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    ASSERT_EQ(this->sends.size(), 2U);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 2U) << "the route allows two";
    EXPECT_EQ(this->caller.answer->status, 502) << "a refusal would say that it has not run";
}

TEST_F(plain_delivery_test, a_refusal_is_proof_where_the_allowance_let_nothing_out_again)
{
    this->start(route_kind::repeatable);
    const service_id service("plain");
    while (this->retries.take(service, this->now)) { }
    ASSERT_FALSE(this->last_send().handlers.may_resend());
    for (int request = 0; request < 5; ++request) {
        this->retries.note_request(service, this->now);
    }
    answer(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    ASSERT_EQ(this->sends.size(), 2U);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 3U) << "one of two runs is left";
}

TEST_F(plain_delivery_test, a_slow_repeatable_request_is_asked_of_another_in_time)
{
    this->start(route_kind::repeatable);
    this->pass(295ms);
    EXPECT_EQ(this->sends.size(), 1U);
    this->pass(10ms);
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    this->pass(1s);
    EXPECT_EQ(this->sends.size(), 2U) << "the last attempt is waited for";
    answer(this->last_send(), 200);
    EXPECT_EQ(this->caller.answer->status, 200);
}

TEST_F(plain_delivery_test, a_slow_call_is_waited_for_where_no_other_upstream_takes_it)
{
    this->directory.remove(upstream_id("b"), this->now);
    this->directory.remove(upstream_id("c"), this->now);
    this->start(route_kind::repeatable);
    this->pass(1s);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_FALSE(this->sends[0]->is_cancelled);
    answer(this->last_send(), 200);
    EXPECT_EQ(this->caller.answer->status, 200);
}

TEST_F(plain_delivery_test, a_slow_call_is_waited_for_while_nothing_may_be_sent)
{
    this->start(route_kind::repeatable);
    this->may_send = false;
    this->pass(1s);
    EXPECT_FALSE(this->caller.answer.has_value());
    answer(this->last_send(), 200);
    EXPECT_EQ(this->caller.answer->status, 200);
}

TEST_F(plain_delivery_test, a_slow_call_is_waited_for_once_all_sends_are_used_up)
{
    for (int number = 4; number < 9; ++number) {
        this->put_service("more" + std::to_string(number), number);
    }
    this->start(route_kind::repeatable);
    for (unsigned refused = 1; refused < this->context->settings.most_sends; ++refused) {
        answer(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    }
    ASSERT_EQ(this->sends.size(), this->context->settings.most_sends);
    this->pass(1s);
    EXPECT_FALSE(this->last_send().is_cancelled);
    answer(this->last_send(), 200);
    EXPECT_EQ(this->caller.answer->status, 200);
}

TEST_F(plain_delivery_test, a_slow_single_run_is_waited_for)
{
    this->start(route_kind::single_run);
    this->pass(2900ms);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_FALSE(this->caller.answer.has_value());
    this->pass(100ms);
    EXPECT_EQ(this->caller.answer->status, 504);
}

TEST_F(plain_delivery_test, at_the_end_of_a_stop_a_single_run_that_was_sent_is_promised_nothing)
{
    const auto delivery = this->start(route_kind::single_run);
    delivery->end_for_stop();
    EXPECT_EQ(this->caller.answer->status, 502);
    EXPECT_FALSE(find_header(this->caller.answer->headers, "retry-after").has_value());
    EXPECT_TRUE(this->last_send().is_cancelled);
    EXPECT_EQ(this->done, 1);
}

TEST_F(plain_delivery_test, at_the_end_of_a_stop_what_no_upstream_has_run_is_sent_elsewhere)
{
    for (const char* id : {"a", "b", "c"}) {
        this->loads.suspend(upstream_id(id), this->now + 10s);
    }
    const auto delivery = this->start(route_kind::single_run);
    ASSERT_TRUE(this->sends.empty());
    delivery->end_for_stop();
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "0.050");
    this->pass(1s);
    EXPECT_TRUE(this->sends.empty()) << "what was refused is not sent any more";
    EXPECT_EQ(this->done, 1);
}

TEST_F(plain_delivery_test, at_the_end_of_a_stop_what_was_refused_by_an_upstream_has_not_run)
{
    this->directory.remove(upstream_id("b"), this->now);
    this->directory.remove(upstream_id("c"), this->now);
    const auto delivery = this->start(route_kind::single_run);
    answer(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    ASSERT_FALSE(this->caller.answer.has_value()) << "it waits for another upstream";
    delivery->end_for_stop();
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(plain_delivery_test, at_the_end_of_a_stop_what_may_be_repeated_is_sent_elsewhere)
{
    const auto delivery = this->start(route_kind::repeatable);
    delivery->end_for_stop();
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "0.050");
}

TEST_F(plain_delivery_test, the_end_of_a_stop_changes_nothing_of_an_answer_that_was_given)
{
    const auto delivery = this->start(route_kind::single_run);
    answer(this->last_send(), 200);
    delivery->end_for_stop();
    EXPECT_EQ(this->caller.answer->status, 200);
    EXPECT_EQ(this->done, 1);
}

TEST_F(plain_delivery_test, stays_away_from_upstreams_that_leave)
{
    for (const char* id : {"a", "b"}) {
        discovered_upstream leaving = this->directory.find(upstream_id(id))->upstream;
        leaving.is_leaving = true;
        this->directory.put(leaving, this->now);
    }
    this->start(route_kind::single_run);
    EXPECT_EQ(target_of(this->last_send()), "c");
}

TEST_F(plain_delivery_test, spreads_its_requests)
{
    std::set<std::string> targets;
    for (int count = 0; count < 3; ++count) {
        this->start(route_kind::single_run);
        targets.insert(target_of(this->last_send()));
    }
    EXPECT_EQ(targets.size(), 3U);
}

TEST_F(plain_delivery_test, an_old_configuration_sends_nothing)
{
    this->may_send = false;
    this->start(route_kind::single_run);
    EXPECT_TRUE(this->sends.empty());
    EXPECT_EQ(this->caller.answer->status, 503);
}

} // namespace

} // namespace sailtiller::tests
