// SPDX-License-Identifier: Apache-2.0
#include "streamdeliveryfixture.h"

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

using stream_delivery_test = stream_delivery_fixture;

TEST_F(stream_delivery_test, forwards_complete_events_and_ends_with_the_upstream)
{
    this->start();
    ASSERT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(path_of(this->last_send()), "10.0.0.1:1=0-8,10.0.0.1:2=8-16");
    give_head(this->last_send(), 200, signed_head());
    EXPECT_EQ(this->caller.status, 200);
    const std::string text = events(0, 3);
    this->last_send().handlers.on_body(text.substr(0, 10));
    EXPECT_EQ(this->caller.body, "") << "a part of an event waits for its rest";
    this->last_send().handlers.on_body(text.substr(10));
    EXPECT_EQ(this->caller.body, text);
    end(this->last_send());
    EXPECT_TRUE(this->caller.is_finished);
    EXPECT_EQ(this->done, 1);
    EXPECT_EQ(this->loads.of(upstream_id("tail")).requests, 0U);
}

TEST_F(stream_delivery_test, measures_request_times)
{
    std::vector<std::pair<request_moment, duration>> measured;
    this->context->measure = [&measured](const delivery_order&, request_moment moment, duration time) {
        measured.emplace_back(moment, time);
    };
    this->start();
    give_head(this->last_send(), 200, signed_head());
    this->pass(50ms);
    this->last_send().handlers.on_body(events(0, 1));
    this->pass(30ms);
    this->last_send().handlers.on_body(events(1, 2));
    end(this->last_send());
    const std::vector<std::pair<request_moment, duration>> expected = {{request_moment::sent, 0ms},
        {request_moment::first_event, 50ms}, {request_moment::next_event, 30ms},
        {request_moment::ended, 80ms}};
    EXPECT_EQ(measured, expected);
}

TEST_F(stream_delivery_test, resumes_after_the_last_complete_event_when_the_connection_breaks)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    const std::string first = path_of(this->last_send());
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(0, 3) + "id: 3\nda");
    end(this->last_send(), call_ending::broken);
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_NE(path_of(this->last_send()), first) << "not over the same head";
    this->expect_whole_after_resuming();
}

// Guards against pieces that come twice because a large id was dropped or rounded on the way.
TEST_F(stream_delivery_test, resumes_after_ids_of_any_size)
{
    const std::vector<std::string> ids = {
        "1764860000012", "9007199254740993", "18446744073709551615", "18446744073709551616"};
    for (const std::string& id : ids) {
        this->caller = {};
        this->start();
        give_head(this->last_send(), 200, signed_head());
        this->last_send().handlers.on_body("id: 7\ndata: t\n\nid: " + id + "\ndata: t\n\n");
        end(this->last_send(), call_ending::relay_lost);
        EXPECT_EQ(find_header(this->last_send().message.headers, "last-event"), id);
    }
}

TEST_F(stream_delivery_test, sends_the_callers_event_id_until_an_event_has_come)
{
    delivery_order order = this->make_order(route_kind::stream);
    order.request.last_event = event_id("18446744073709551616");
    this->start(order);
    for (int send = 0; send < 2; ++send) {
        EXPECT_EQ(find_header(this->last_send().message.headers, "last-event"), "18446744073709551616");
        give_head(this->last_send(), 200, signed_head());
        end(this->last_send(), call_ending::relay_lost);
    }
    EXPECT_EQ(this->sends.size(), 2U);
}

// Guards against pieces that come twice because a stream is resumed after an event before the last one.
TEST_F(stream_delivery_test, is_not_resumed_after_an_event_without_an_id)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body("id: 1\ndata: t\n\ndata: u\n\n");
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_TRUE(this->caller.is_aborted);
    EXPECT_FALSE(this->caller.is_finished);
}

TEST_F(stream_delivery_test, a_comment_without_an_id_keeps_a_stream_resumable)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body("id: 1\ndata: t\n\n: still working\n\n");
    end(this->last_send(), call_ending::broken);
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(find_header(this->last_send().message.headers, "last-event"), "1");
}

TEST_F(stream_delivery_test, goes_on_after_its_last_event_when_its_relaying_host_is_lost)
{
    this->start();
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(0, 3));
    end(this->last_send(), call_ending::relay_lost);
    ASSERT_EQ(this->sends.size(), 2U) << "over the only head again, which has shown no fault";
    this->expect_whole_after_resuming();
}

// Guards against streams that wait for their time limit because every head has failed them once.
TEST_F(stream_delivery_test, goes_on_over_a_head_that_has_failed_it_if_no_other_one_comes)
{
    this->put_engine("other", 3, {0, 8});
    const delivery_order order = this->make_order(route_kind::stream);
    this->bundle->routes.front().time_limit = 20s;
    this->start(order);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(0, 3));
    end(this->last_send(), call_ending::relay_lost);
    ASSERT_EQ(this->sends.size(), 2U);
    end(this->last_send(), call_ending::not_connected);
    this->pass(2s);
    EXPECT_EQ(this->sends.size(), 2U) << "until a dead head would be known to be dead";
    this->pass(2s);
    ASSERT_EQ(this->sends.size(), 3U);
    this->expect_whole_after_resuming();
}

TEST_F(stream_delivery_test, a_clean_close_within_an_event_is_not_the_end_of_the_stream)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body("id: 0\ndata");
    end(this->last_send());
    EXPECT_FALSE(this->caller.is_finished);
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(stream_delivery_test, runs_on_no_more_upstreams_than_the_route_allows)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    this->start();
    for (int run = 0; run < 2; ++run) {
        give_head(this->last_send(), 200, signed_head());
        end(this->last_send(), call_ending::broken);
    }
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_TRUE(this->caller.is_aborted);
    EXPECT_EQ(this->done, 1);
}

TEST_F(stream_delivery_test, an_answer_to_another_request_is_not_forwarded)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    give_head(this->last_send(), 200, signed_head("someone-else"));
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    EXPECT_FALSE(this->caller.status.has_value());
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(stream_delivery_test, an_upstream_that_answers_another_request_may_have_run_this_one)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    this->start();
    for (int run = 0; run < 2; ++run) {
        give_head(this->last_send(), 200, signed_head("someone-else"));
    }
    EXPECT_EQ(this->sends.size(), 2U) << "the route allows two";
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 502);
}

TEST_F(stream_delivery_test, sends_that_no_upstream_has_run_are_not_counted_as_runs)
{
    for (int number = 3; number < 7; ++number) {
        this->put_engine("other" + std::to_string(number), number, {0, 8});
    }
    this->start();
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    end(this->last_send());
    end(this->last_send(), call_ending::not_connected);
    ASSERT_EQ(this->sends.size(), 3U);
    end(this->last_send(), call_ending::broken);
    ASSERT_EQ(this->sends.size(), 4U);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 4U) << "the route allows two";
    EXPECT_EQ(this->caller.answer->status, 502);
}

TEST_F(stream_delivery_test, failures_log_the_runs_used_and_allowed)
{
    std::vector<std::string> details;
    this->context->log = [&details](const delivery_event& event) {
        if (event.what == event_type::path_failed || event.what == event_type::broken_off) {
            details.push_back(event.detail);
        }
    };
    this->put_engine("other", 3, {0, 8});
    auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    end(this->last_send(), call_ending::broken);
    const std::string content = ", content " + this->make_order(route_kind::stream).content().value();
    const std::vector<std::string> expected = {"broken off: test after 2 events, runs 1 of 2" + content,
        "broken off: test after 2 events, runs 2 of 2" + content,
        "broken off: test, 2 events, the last 0 ms ago, runs 2 of 2, ended by runs_used_up while waiting for "
        "the "
        "answer to begin, held up by nothing"};
    EXPECT_EQ(details, expected);
}

TEST_F(stream_delivery_test, late_callbacks_of_an_abandoned_call_are_ignored)
{
    this->put_engine("other", 3, {0, 8});
    auto delivery = this->start_streaming(1);
    fake_send& first = *this->sends[0];
    delivery->leave_upstreams({upstream_id(find_header(first.message.headers, "target").value())});
    ASSERT_EQ(this->sends.size(), 2U);
    first.handlers.on_body(events(1, 9));
    first.handlers.on_end(call_ending::whole, "");
    EXPECT_EQ(this->caller.body, events(0, 1));
    EXPECT_FALSE(this->caller.is_finished);
}

TEST_F(stream_delivery_test, a_refusal_avoids_the_stage_that_it_names)
{
    this->put_engine("spare", 3, {8, 16});
    this->start();
    const std::string first = path_of(this->last_send());
    const std::string named = first.find(":2=") != std::string::npos ? "10.0.0.1:2" : "10.0.0.1:3";
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}, {"at", named}});
    end(this->last_send());
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(path_of(this->last_send()).find(named + "="), std::string::npos);
}

// Guards against exhausting the retry allowance during a store outage (381 refusals in two seconds). Eight of
// 99 engines drained but couldn't show it in their entries, and each refused every host four times per
// second, because each host on its own avoided a refusing engine for only 250 ms, as if it were full.
TEST_F(stream_delivery_test, an_engine_that_refuses_with_free_capacity_is_avoided_for_longer)
{
    this->start();
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}, {"at", "10.0.0.1:2"}});
    end(this->last_send());
    const engine_load& load = this->loads.of(upstream_id("tail"));
    EXPECT_FALSE(load.accepts_requests(this->now + 1499ms));
    EXPECT_TRUE(load.accepts_requests(this->now + 1500ms));
    EXPECT_GT(load.unwilling_until, this->now) << "others are told";
    this->pass(1500ms);
    this->start();
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}, {"at", "10.0.0.1:2"}});
    end(this->last_send());
    EXPECT_FALSE(load.accepts_requests(this->now + 2999ms)) << "it did so again";
}

TEST_F(stream_delivery_test, an_engine_that_is_full_is_tried_again_soon)
{
    // 60 % of the capacity of 20,000 tokens times layers.
    this->loads.set_remote_usage({{upstream_id("tail"), {12'000, 3}}});
    this->start();
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}, {"at", "10.0.0.1:2"}});
    end(this->last_send());
    const engine_load& load = this->loads.of(upstream_id("tail"));
    EXPECT_FALSE(load.accepts_requests(this->now + 249ms));
    EXPECT_TRUE(load.accepts_requests(this->now + 250ms));
}

TEST_F(stream_delivery_test, is_refused_as_not_run_within_the_hold_time_when_a_layer_has_no_holder)
{
    this->directory.remove(upstream_id("tail"), this->now);
    this->start();
    this->pass(80ms);
    EXPECT_FALSE(this->caller.answer.has_value()) << "held for a moment, as a holder may come";
    this->pass(45ms);
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_TRUE(find_header(this->caller.answer->headers, "retry-after").has_value());
    EXPECT_TRUE(this->sends.empty());
}

TEST_F(stream_delivery_test, a_returning_caller_is_held_longer_than_a_new_one)
{
    this->put_engine("tail", 2, {});
    delivery_order order = this->make_order(route_kind::stream);
    order.request.time_limit = 2s; // the route allows 3 s
    EXPECT_TRUE(order.is_returning_caller());
    const auto delivery = this->start(order);
    this->pass(1450ms);
    EXPECT_FALSE(this->caller.answer.has_value());
    this->pass(100ms);
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, a_caller_that_resumes_after_an_event_is_a_returning_caller)
{
    delivery_order order = this->make_order(route_kind::stream);
    EXPECT_FALSE(order.is_returning_caller()) << "no limit of its own";
    order.request.time_limit = 2900ms;
    EXPECT_FALSE(order.is_returning_caller()) << "a little is lost on the way";
    order.request.last_event = event_id("0");
    EXPECT_TRUE(order.is_returning_caller());
}

TEST_F(stream_delivery_test, a_running_stream_survives_one_second_of_refusals)
{
    this->put_engine("other", 3, {0, 8});
    auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    const std::size_t refused = this->refuse_sends_for(800ms, 503);
    EXPECT_FALSE(this->caller.is_aborted) << "after " << refused << " refusals";
    EXPECT_LE(refused, 7U) << "each send takes from the fleet's allowance";
    const std::size_t sent = this->sends.size();
    const time_point last_refusal = this->now;
    while (this->sends.size() == sent && this->now - last_refusal < 1200ms) {
        this->pass(5ms);
    }
    ASSERT_GT(this->sends.size(), sent);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_TRUE(this->caller.is_finished);
    EXPECT_EQ(this->caller.body, events(0, 4));
}

TEST_F(stream_delivery_test, a_running_stream_waits_for_the_retry_allowance)
{
    this->put_engine("other", 3, {0, 8});
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    auto delivery = this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    this->pass(500ms);
    EXPECT_FALSE(this->caller.is_aborted);
    EXPECT_EQ(this->sends.size(), 1U);
    this->retries.set_settings({.ratio = 0, .slack = 10, .window = 10s});
    this->pass(100ms);
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(stream_delivery_test, a_running_stream_waits_for_a_current_configuration)
{
    this->put_engine("other", 3, {0, 8});
    auto delivery = this->start_streaming(2);
    this->may_send = false;
    end(this->last_send(), call_ending::broken);
    this->pass(1500ms);
    EXPECT_FALSE(this->caller.is_aborted);
    EXPECT_EQ(this->sends.size(), 1U);
    this->may_send = true;
    this->pass(30ms);
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
}

TEST_F(stream_delivery_test,
    a_stream_under_way_without_a_known_configuration_is_sent_nowhere_until_its_time_is_over)
{
    this->put_engine("other", 3, {0, 8});
    auto delivery = this->start_streaming(2);
    this->may_send = false;
    end(this->last_send(), call_ending::broken);
    this->pass(2975ms);
    EXPECT_FALSE(this->caller.is_aborted);
    EXPECT_EQ(this->done, 0);
    this->pass(10ms);
    EXPECT_TRUE(this->caller.is_aborted);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->done, 1);
}

TEST_F(stream_delivery_test, uses_a_holder_that_appears_within_the_hold_time)
{
    this->directory.remove(upstream_id("tail"), this->now);
    this->start();
    this->pass(50ms);
    this->put_engine("new", 4, {8, 16});
    this->pass(30ms);
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(stream_delivery_test, is_not_sent_while_the_configuration_may_be_outdated)
{
    this->may_send = false;
    this->start();
    EXPECT_TRUE(this->sends.empty());
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, is_not_sent_to_engines_without_free_capacity)
{
    // 8 layers leave 2,000 MB, which is 20,000 tokens in one layer.
    this->loads.add(upstream_id("tail"), 30'000);
    this->start();
    this->pass(200ms);
    EXPECT_TRUE(this->sends.empty());
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, a_full_pipe_between_halls_gets_no_new_streams)
{
    this->directory.remove(upstream_id("tail"), this->now);
    this->put_engine("far", 5, {8, 16}, "y");
    this->pipes.note(data_hall_id("x"), data_hall_id("y"), 1e9, this->now);
    this->start();
    EXPECT_TRUE(this->sends.empty());
    this->pass(200ms);
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, a_dead_stage_is_replaced_within_the_running_request)
{
    auto delivery = this->start_streaming(2);
    this->put_engine("spare", 3, {8, 16});
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->changes.size(), 1U);
    EXPECT_EQ(this->changes[0].limit, duration(200ms) / 3)
        << "a third of the pause that callers are promised";
    EXPECT_EQ(this->changes[0].request.value(), "r1");
    EXPECT_EQ(this->changes[0].path[0].address.value(), "10.0.0.1:1") << "the head stays";
    EXPECT_EQ(this->changes[0].path[1].address.value(), "10.0.0.1:3");
    this->change_answers[0]({path_change_result::changed, std::nullopt});
    EXPECT_EQ(this->loads.of(upstream_id("tail")).requests, 0U);
    EXPECT_EQ(this->loads.of(upstream_id("spare")).requests, 1U);
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(stream_delivery_test, a_stage_that_releases_its_layers_is_replaced)
{
    auto delivery = this->start_streaming(1);
    delivery->leave_given_up_layers();
    EXPECT_TRUE(this->changes.empty()) << "every part holds its layers";
    this->put_engine("second-tail", 3, {8, 16});
    this->put_engine("tail", 2, {0, 4});
    delivery->leave_given_up_layers();
    ASSERT_EQ(this->changes.size(), 1U);
    EXPECT_EQ(this->changes[0].path[1].address.value(), "10.0.0.1:3");
    this->change_answers[0]({path_change_result::changed, std::nullopt});
    EXPECT_EQ(this->loads.of(upstream_id("tail")).requests, 0U);
    delivery->leave_given_up_layers();
    EXPECT_EQ(this->changes.size(), 1U);
}

TEST_F(stream_delivery_test, a_head_that_releases_its_layers_keeps_the_stream)
{
    auto delivery = this->start_streaming(1);
    this->put_engine("second-tail", 3, {8, 16});
    this->put_engine("tail", 2, {0, 4});
    this->put_engine("head", 1, {});
    delivery->leave_given_up_layers();
    ASSERT_EQ(this->changes.size(), 1U);
    EXPECT_EQ(this->changes[0].path[0].address.value(), "10.0.0.1:1");
    EXPECT_EQ(this->changes[0].path[1].address.value(), "10.0.0.1:3");
}

TEST_F(stream_delivery_test, a_stage_that_releases_its_layers_keeps_a_stream_without_another_path)
{
    auto delivery = this->start_streaming(1);
    this->put_engine("tail", 2, {0, 4});
    delivery->leave_given_up_layers();
    EXPECT_TRUE(this->changes.empty());
    EXPECT_EQ(this->sends.size(), 1U);
    this->put_engine("far-tail", 3, {8, 16}, "y");
    delivery->leave_given_up_layers();
    EXPECT_TRUE(this->changes.empty()) << "not through the pipe between halls";
}

TEST_F(stream_delivery_test, a_stage_that_refuses_the_path_change_is_avoided)
{
    auto delivery = this->start_streaming(2);
    this->put_engine("full", 3, {8, 16});
    this->put_engine("roomy", 4, {8, 16}, "x", "small");
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->changes.size(), 1U);
    const endpoint refused = this->changes[0].path[1].address;
    this->change_answers[0]({path_change_result::stage_refused, refused});
    this->pass(10ms);
    ASSERT_EQ(this->changes.size(), 2U);
    EXPECT_NE(this->changes[1].path[1].address, refused);
}

TEST_F(stream_delivery_test, at_most_one_path_change_is_pending)
{
    auto delivery = this->start_streaming(2);
    this->put_engine("spare", 3, {8, 16});
    this->put_engine("other", 4, {8, 16}, "x", "small");
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->changes.size(), 1U);
    delivery->leave_upstreams({upstream_id("tail")});
    this->pass(100ms);
    EXPECT_EQ(this->changes.size(), 1U);
}

TEST_F(stream_delivery_test, two_stages_that_die_together_are_replaced_by_one_path_change)
{
    this->directory.remove(upstream_id("tail"), this->now);
    this->put_engine("middle", 3, {8, 12});
    this->put_engine("end", 4, {12, 16});
    auto delivery = this->start_streaming(1);
    this->put_engine("tail", 5, {8, 16}, "x", "small");
    delivery->leave_upstreams({upstream_id("middle"), upstream_id("end")});
    ASSERT_EQ(this->changes.size(), 1U);
    ASSERT_EQ(this->changes[0].path.size(), 2U);
    EXPECT_EQ(this->changes[0].path[1].address, endpoint("10.0.0.1:5"));
    this->change_answers[0]({path_change_result::changed, std::nullopt});
    EXPECT_EQ(this->changes.size(), 1U);
}

TEST_F(stream_delivery_test, heads_marked_dead_count_as_runs)
{
    // A probe may fail because of the link while the engine continues the request.
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    auto delivery = this->start_streaming(1);
    for (unsigned run = 1; run <= 2; ++run) {
        delivery->leave_upstreams(
            {upstream_id(find_header(this->last_send().message.headers, "target").value())});
        if (this->sends.size() > run) {
            give_head(this->last_send(), 200, signed_head());
            this->last_send().handlers.on_body(events(run, run + 1));
        }
    }
    EXPECT_EQ(this->sends.size(), 2U) << "the route allows two";
    this->pass(2975ms);
    EXPECT_FALSE(this->caller.is_aborted) << "the last one may still be heard";
    EXPECT_FALSE(this->last_send().is_cancelled);
    this->pass(10ms); // the route's time limit minus the margin
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_TRUE(this->last_send().is_cancelled);
    EXPECT_TRUE(this->caller.is_aborted);
    EXPECT_EQ(this->done, 1);
}

TEST_F(stream_delivery_test, the_last_allowed_run_continues_when_its_head_recovers)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    constexpr duration silence = 1200ms;
    auto delivery = this->start_streaming(1);
    delivery->leave_upstreams({this->last_target()});
    ASSERT_EQ(this->sends.size(), 2U);
    delivery->leave_upstreams({this->last_target()});
    this->pass(silence);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(1, 3));
    this->pass(200ms);
    EXPECT_EQ(this->caller.body, events(0, 3));
    EXPECT_FALSE(this->caller.is_aborted);
    delivery->leave_upstreams({this->last_target()});
    this->pass(silence);
    EXPECT_FALSE(this->caller.is_aborted);
    this->last_send().handlers.on_body(events(3, 5));
    end(this->last_send());
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(this->caller.body, events(0, 5));
    EXPECT_TRUE(this->caller.is_finished);
}

TEST_F(stream_delivery_test, a_suspected_head_is_replaced_once_the_retry_allowance_has_grown)
{
    this->put_engine("other", 3, {0, 8});
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    auto delivery = this->start_streaming(2);
    delivery->leave_upstreams({this->last_target()});
    this->pass(500ms);
    EXPECT_FALSE(this->sends[0]->is_cancelled);
    this->retries.set_settings({.ratio = 0, .slack = 10, .window = 10s});
    this->pass(30ms);
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(stream_delivery_test, a_recovered_head_is_kept_once_the_retry_allowance_has_grown)
{
    this->put_engine("other", 3, {0, 8});
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    auto delivery = this->start_streaming(2);
    delivery->leave_upstreams({this->last_target()});
    this->pass(500ms);
    delivery->keep_upstream(this->last_target());
    this->retries.set_settings({.ratio = 0, .slack = 10, .window = 10s});
    this->pass(500ms);
    EXPECT_FALSE(this->sends[0]->is_cancelled);
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(stream_delivery_test, a_suspected_head_is_kept_until_another_engine_holds_its_layers)
{
    auto delivery = this->start_streaming(2);
    delivery->leave_upstreams({this->last_target()});
    this->pass(500ms);
    EXPECT_FALSE(this->sends[0]->is_cancelled);
    this->put_engine("other", 3, {0, 8});
    this->pass(30ms);
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(stream_delivery_test, a_caller_without_an_answer_is_refused_early_when_the_only_head_is_suspected)
{
    auto delivery = this->start();
    delivery->leave_upstreams({this->last_target()});
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    this->pass(scale(this->bundle->routes.front().latency_objective, 0.25));
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, a_caller_without_an_answer_is_refused_at_once_when_no_retry_is_left)
{
    this->put_engine("other", 3, {0, 8});
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    auto delivery = this->start();
    delivery->leave_upstreams({this->last_target()});
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, a_suspected_head_is_kept_while_sending_is_not_allowed)
{
    this->put_engine("other", 3, {0, 8});
    auto delivery = this->start_streaming(2);
    this->may_send = false;
    delivery->leave_upstreams({this->last_target()});
    this->pass(500ms);
    EXPECT_FALSE(this->sends[0]->is_cancelled);
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
}

TEST_F(stream_delivery_test, a_late_callback_of_a_former_call_is_ignored)
{
    auto delivery = this->start_streaming(2);
    this->put_engine("spare", 3, {8, 16});
    this->put_engine("second", 4, {0, 8});
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->change_answers.size(), 1U);
    delivery->leave_upstreams({upstream_id("head")});
    ASSERT_EQ(this->sends.size(), 2U);
    const std::string path = path_of(this->last_send());
    this->change_answers[0]({path_change_result::changed, std::nullopt});
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_EQ(this->loads.of(upstream_id("spare")).requests, 0U);
}

TEST_F(stream_delivery_test, a_late_callback_of_a_broken_call_is_ignored)
{
    auto delivery = this->start_streaming(2);
    this->put_engine("spare", 3, {8, 16});
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->change_answers.size(), 1U);
    end(this->last_send(), call_ending::broken);
    ASSERT_EQ(this->sends.size(), 1U) << "no other engine holds the first layers";
    this->change_answers[0]({path_change_result::changed, std::nullopt});
    EXPECT_EQ(this->loads.of(upstream_id("spare")).requests, 0U);
    this->put_engine("second", 4, {0, 8});
    this->pass(30ms);
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
}

TEST_F(stream_delivery_test, restarts_in_another_hall_rather_than_over_the_pipe)
{
    auto delivery = this->start_streaming(2);
    this->put_engine("far-head", 5, {0, 8}, "y");
    this->put_engine("far-tail", 6, {8, 16}, "y");
    delivery->leave_upstreams({upstream_id("tail")});
    EXPECT_TRUE(this->changes.empty());
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(path_of(this->last_send()), "10.0.0.1:5=0-8,10.0.0.1:6=8-16");
    EXPECT_EQ(find_header(this->last_send().message.headers, "last-event"), "1");
}

TEST_F(stream_delivery_test, a_request_whose_path_died_before_its_start_is_resent)
{
    auto delivery = this->start();
    this->put_engine("spare", 3, {8, 16});
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->changes.size(), 1U);
    this->change_answers[0]({path_change_result::unknown_request, std::nullopt});
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    EXPECT_EQ(this->sends.size(), 2U);
}

// Guards against a third run on a route that allows two. A first engine's run breaks after some events and a
// second engine completes the request, but its answer is still on a congested link when the stream asks for a
// path change. The engine no longer knows the request. If the stream takes that as "not started", it abandons
// the call without counting a run and sends to a third engine 0.3 s later.
TEST_F(stream_delivery_test, an_engine_that_no_longer_knows_the_request_may_have_run_it)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    auto delivery = this->start_streaming(2);
    delivery->leave_upstreams({this->last_target()});
    ASSERT_EQ(this->sends.size(), 2U);
    const std::shared_ptr<fake_send> second = this->sends[1];
    this->put_engine("spare", 5, {8, 16});
    delivery->leave_upstreams({upstream_id("tail")});
    ASSERT_EQ(this->changes.size(), 1U);
    this->change_answers[0]({path_change_result::unknown_request, std::nullopt});
    this->pass(100ms);
    EXPECT_EQ(this->sends.size(), 2U) << "the route allows two";
    ASSERT_FALSE(second->is_cancelled) << "its answer is on the way";
    give_head(*second, 200, signed_head());
    second->handlers.on_body(events(2, 4));
    end(*second);
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
    EXPECT_FALSE(this->caller.is_aborted);
}

// Guards against a third run on a route that allows two. A kept connection closes without an answer and the
// request is resent to the same engine, which refuses the second copy as not run. The first copy may have
// been started, so that the engine still counts as a run although the resend was refused.
TEST_F(stream_delivery_test, a_refused_resend_leaves_the_first_copy_counted_as_a_run)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    this->start();
    ASSERT_TRUE(this->last_send().handlers.may_resend());
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    end(this->last_send());
    ASSERT_EQ(this->sends.size(), 2U);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 2U) << "the route allows two";
}

TEST_F(stream_delivery_test, a_refusal_counts_as_not_run_when_only_the_previous_call_was_resent)
{
    this->put_engine("second", 3, {0, 8});
    this->put_engine("third", 4, {0, 8});
    this->start();
    ASSERT_TRUE(this->last_send().handlers.may_resend());
    end(this->last_send(), call_ending::broken);
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    end(this->last_send());
    EXPECT_EQ(this->sends.size(), 3U) << "the second one surely has not run it";
}

// Guards against a resend with an outdated remaining time and a second run at the same engine. The engine
// starts a request received over a kept connection and ends seconds later without an answer. Only a
// connection closed within about one round trip was already closed when it was reused.
TEST_F(stream_delivery_test, a_request_is_resent_only_shortly_after_its_first_send)
{
    this->start();
    EXPECT_TRUE(this->last_send().handlers.may_resend());
    this->pass(600ms);
    EXPECT_FALSE(this->last_send().handlers.may_resend());
}

TEST_F(stream_delivery_test, a_path_change_is_repeated_until_the_last_allowed_upstream_has_started)
{
    delivery_order order = this->make_order(route_kind::stream);
    this->bundle->routes.front().is_resumable = false;
    const auto delivery = this->start(order);
    this->put_engine("spare", 3, {8, 16});
    delivery->leave_upstreams({upstream_id("tail")});
    const std::vector<duration> pauses = {40ms, 80ms, 160ms, 320ms, 400ms, 400ms, 400ms, 400ms};
    const auto tries = static_cast<unsigned>(pauses.size());
    ASSERT_EQ(tries, 2 * this->context->settings.immediate_changes);
    for (unsigned tried = 1; tried <= tries; ++tried) {
        ASSERT_EQ(this->changes.size(), tried);
        this->change_answers.back()({path_change_result::unknown_request, std::nullopt});
        this->pass(pauses[tried - 1] - 5ms);
        EXPECT_EQ(this->changes.size(), tried) << "not sooner";
        this->pass(10ms);
    }
    EXPECT_EQ(this->sends.size(), 1U) << "it may have run and may not be repeated";
    EXPECT_FALSE(this->sends[0]->is_cancelled);
    this->change_answers.back()({path_change_result::changed, std::nullopt});
    this->pass(100ms);
    EXPECT_EQ(this->changes.size(), tries + 1U);
    EXPECT_EQ(this->loads.of(upstream_id("spare")).requests, 1U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(0, 2));
    end(this->last_send());
    EXPECT_TRUE(this->caller.is_finished);
}

TEST_F(stream_delivery_test, a_dead_upstream_outside_its_path_is_ignored)
{
    auto delivery = this->start_streaming(2);
    delivery->leave_upstreams({upstream_id("stranger")});
    EXPECT_TRUE(this->changes.empty());
    EXPECT_EQ(this->sends.size(), 1U);
}

TEST_F(stream_delivery_test, gets_its_final_answer_at_the_time_limit)
{
    this->start();
    this->pass(2979ms);
    EXPECT_FALSE(this->caller.answer.has_value());
    this->pass(5ms);
    EXPECT_EQ(this->caller.answer->status, 504);
    EXPECT_TRUE(this->sends[0]->is_cancelled);
}

TEST_F(stream_delivery_test, cancels_the_call_when_the_caller_disconnects)
{
    this->start();
    this->caller.has_left = true;
    this->pass(105ms);
    EXPECT_TRUE(this->sends[0]->is_cancelled);
    EXPECT_EQ(this->done, 1);
    EXPECT_EQ(this->loads.of(upstream_id("head")).requests, 0U);
}

/// An engine that fails fast looks idle to all hosts and attracts their streams.
TEST_F(stream_delivery_test, an_engine_with_consecutive_failures_is_avoided_and_reported_to_other_hosts)
{
    this->retries = retry_allowance({.ratio = 0, .slack = 0, .window = 10s});
    const auto load = [this]() -> const engine_load& { return this->loads.of(upstream_id("head")); };
    const auto fail_one = [this] {
        const std::size_t before = this->sends.size();
        this->start();
        ASSERT_EQ(this->sends.size(), before + 1);
        give_head(this->last_send(), 500, signed_head());
        end(this->last_send());
    };
    fail_one();
    EXPECT_TRUE(load().accepts_requests(this->now)) << "the request itself may be the cause";
    fail_one();
    EXPECT_FALSE(load().accepts_requests(this->now + 1499ms));
    EXPECT_GT(load().unwilling_until, this->now) << "others are told";
    this->pass(1500ms);
    EXPECT_TRUE(load().accepts_requests(this->now));
    fail_one();
    EXPECT_FALSE(load().accepts_requests(this->now + 2999ms)) << "it did so again";
}

TEST_F(stream_delivery_test, an_engine_that_serves_between_two_failures_stays_in_use)
{
    this->retries = retry_allowance({.ratio = 0, .slack = 0, .window = 10s});
    for (int turn = 0; turn < 4; ++turn) {
        this->start();
        give_head(this->last_send(), turn % 2 == 0 ? 500 : 200, signed_head());
        end(this->last_send());
        EXPECT_TRUE(this->loads.of(upstream_id("head")).accepts_requests(this->now));
    }
}

TEST_F(stream_delivery_test, an_upstream_failure_is_forwarded_unchanged_after_the_last_run)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    for (int run = 0; run < 2; ++run) {
        give_head(this->last_send(), 500, signed_head());
        this->last_send().handlers.on_body("why");
        end(this->last_send());
    }
    EXPECT_EQ(this->sends.size(), 2U);
    EXPECT_EQ(this->caller.answer->status, 500);
    EXPECT_EQ(this->caller.answer->body, "why");
}

TEST_F(stream_delivery_test, an_upstream_failure_is_forwarded_when_no_retry_is_left)
{
    this->retries = retry_allowance({.ratio = 0, .slack = 0, .window = 10s});
    this->put_engine("other", 3, {0, 8});
    this->start();
    give_head(this->last_send(), 500, signed_head());
    this->last_send().handlers.on_body("why");
    end(this->last_send());
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->caller.answer->status, 500);
    EXPECT_EQ(this->caller.answer->body, "why");
}

TEST_F(stream_delivery_test, an_exhausted_retry_allowance_ends_the_stream)
{
    this->retries = retry_allowance({.ratio = 0, .slack = 0, .window = 10s});
    this->put_engine("other", 3, {0, 8});
    this->start();
    give_head(this->last_send(), 503, {{"id", "r1"}, {"not-run", "1"}});
    end(this->last_send());
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->caller.answer->status, 503);
}

TEST_F(stream_delivery_test, an_unreachable_upstream_gets_no_new_requests)
{
    this->put_engine("other", 3, {0, 8});
    this->start();
    const std::string target = find_header(this->last_send().message.headers, "target").value();
    end(this->last_send(), call_ending::not_connected);
    EXPECT_FALSE(this->loads.of(upstream_id(target)).accepts_requests(this->now));
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_NE(find_header(this->last_send().message.headers, "target").value(), target);
}

TEST_F(stream_delivery_test, host_stop_asks_for_retry_of_a_stream_without_a_path)
{
    this->directory.remove(upstream_id("tail"), this->now);
    const auto delivery = this->start();
    ASSERT_TRUE(this->sends.empty());
    EXPECT_FALSE(delivery->end_for_stop("cut"));
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "0.050");
    this->pass(1s);
    EXPECT_TRUE(this->sends.empty()) << "what was refused is not sent any more";
    EXPECT_EQ(this->done, 1);
}

TEST_F(stream_delivery_test, host_stop_refuses_as_not_run_what_has_no_event_before_its_end)
{
    this->context->stop.begin(this->now, 10s, 0s);
    this->start();
    EXPECT_TRUE(this->sends.empty());
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "0.050");
}

TEST_F(stream_delivery_test, host_stop_asks_for_retry_of_a_resumable_stream_without_events)
{
    const auto delivery = this->start();
    EXPECT_FALSE(delivery->end_for_stop("cut"));
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_TRUE(this->last_send().is_cancelled);
}

TEST_F(stream_delivery_test, host_stop_reports_unknown_for_a_sent_non_repeatable_stream)
{
    delivery_order order = this->make_order(route_kind::stream);
    this->bundle->routes.front().is_resumable = false;
    const auto delivery = std::make_shared<stream_delivery>(
        *this->context, std::move(order), this->make_caller(), [this] { ++this->done; });
    delivery->start();
    ASSERT_EQ(this->sends.size(), 1U);
    EXPECT_FALSE(delivery->end_for_stop("cut"));
    EXPECT_EQ(this->caller.answer->status, 502);
    EXPECT_EQ(this->done, 1);
}

TEST_F(stream_delivery_test, host_stop_aborts_a_started_answer)
{
    std::vector<std::pair<event_type, std::string>> logged;
    this->context->log = [&logged](
                             const delivery_event& event) { logged.emplace_back(event.what, event.detail); };
    const auto delivery = this->start_streaming(3);
    EXPECT_TRUE(delivery->end_for_stop("cut"));
    EXPECT_TRUE(this->caller.is_aborted);
    EXPECT_FALSE(this->caller.answer.has_value());
    const std::string detail = "cut, 3 events, the last 0 ms ago, runs 1 of 2, ended by host_stop while "
                               "streaming, held up by nothing";
    EXPECT_EQ(logged.back(), std::make_pair(event_type::broken_off, detail));
    EXPECT_TRUE(this->last_send().is_cancelled);
    EXPECT_EQ(this->done, 1);
    EXPECT_FALSE(delivery->end_for_stop("cut")) << "it has ended";
}

TEST_F(stream_delivery_test, sends_that_reach_no_engine_do_not_use_up_the_retry_allowance)
{
    this->retries.set_settings({.ratio = 0, .slack = 0, .window = 10s});
    this->put_engine("other", 3, {0, 8});
    this->start();
    end(this->last_send(), call_ending::not_connected);
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 200, signed_head());
    EXPECT_EQ(this->caller.status, 200);
}

TEST_F(stream_delivery_test, failed_connections_in_a_row_are_followed_by_pauses)
{
    this->put_engine("other", 3, {0, 8});
    this->start_streaming(2);
    end(this->last_send(), call_ending::broken);
    const std::size_t before = this->sends.size();
    const time_point end_of_failures = this->now + 1s;
    while (this->now < end_of_failures) {
        if (!this->last_send().is_cancelled && this->sends.size() > before) {
            end(this->last_send(), call_ending::not_connected);
        }
        this->pass(5ms);
    }
    EXPECT_LE(this->sends.size() - before, 12U) << "one after the other without a pause would be hundreds";
    EXPECT_FALSE(this->caller.is_aborted);
}

TEST_F(stream_delivery_test, a_silent_connection_is_left_once_no_new_one_can_be_made)
{
    const auto delivery = this->start_streaming(2);
    const time_point lost = this->now + 10ms;
    const auto lost_way = [lost](const upstream_id&) { return std::optional(lost); };
    this->pass(2s);
    const std::size_t before = this->sends.size();
    delivery->leave_lost_connection([](const upstream_id&) { return std::nullopt; });
    EXPECT_EQ(this->sends.size(), before) << "new connections can be made, so the engine is silent";
    delivery->leave_lost_connection(lost_way);
    ASSERT_EQ(this->sends.size(), before + 1);
    EXPECT_EQ(find_header(this->last_send().message.headers, "last-event"), "1");
    this->pass(2s);
    delivery->leave_lost_connection(lost_way);
    EXPECT_EQ(this->sends.size(), before + 1) << "the new send went another way";
}

TEST_F(stream_delivery_test, a_request_that_went_another_way_after_the_loss_is_not_on_a_lost_connection)
{
    const auto delivery = this->start();
    const std::size_t before = this->sends.size();
    const time_point lost = this->now + 10ms;
    const auto lost_way = [lost](const upstream_id&) { return std::optional(lost); };
    this->pass(200ms); // without a connection
    delivery->leave_lost_connection(lost_way);
    EXPECT_EQ(this->sends.size(), before) << "nothing of it has been sent";
    ASSERT_TRUE(this->last_send().handlers.may_send());
    this->pass(200ms);
    delivery->leave_lost_connection(lost_way);
    EXPECT_EQ(this->sends.size(), before) << "it was sent after the loss";
}

TEST_F(stream_delivery_test, a_lost_connection_is_left_for_another_head_while_there_is_one)
{
    this->put_engine("other", 3, {0, 8});
    const auto delivery = this->start_streaming(2);
    const upstream_id first = this->last_target();
    const time_point lost = this->now + 10ms;
    this->pass(2s);
    delivery->leave_lost_connection([lost](const upstream_id&) { return std::optional(lost); });
    EXPECT_NE(this->last_target(), first);
}

TEST_F(stream_delivery_test, a_connection_with_events_after_the_loss_of_the_way_is_kept)
{
    const auto delivery = this->start_streaming(2);
    const time_point lost = this->now;
    this->pass(50ms);
    this->last_send().handlers.on_body(events(2, 3));
    this->pass(2s);
    const std::size_t before = this->sends.size();
    delivery->leave_lost_connection([lost](const upstream_id&) { return std::optional(lost); });
    EXPECT_EQ(this->sends.size(), before);
}

TEST_F(stream_delivery_test, a_stream_without_a_way_to_its_engines_waits_and_a_new_one_is_refused_at_once)
{
    this->put_engine("other", 3, {0, 8});
    const auto delivery = this->start_streaming(2);
    std::optional<duration> retry_after = 1s;
    this->context->retry_after_if_unreachable = [&retry_after](
                                                    const service_id&, bool) { return retry_after; };
    end(this->last_send(), call_ending::broken);
    this->pass(200ms);
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_FALSE(this->caller.is_aborted);
    retry_after.reset();
    this->pass(50ms);
    EXPECT_EQ(this->sends.size(), 2U);
    retry_after = 1s;
    this->caller = {};
    this->start();
    ASSERT_TRUE(this->caller.answer);
    EXPECT_EQ(this->caller.answer->status, 503);
}

} // namespace

} // namespace sailtiller::tests
