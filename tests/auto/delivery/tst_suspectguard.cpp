// SPDX-License-Identifier: Apache-2.0
// Deliveries of requests suspected of crashing upstreams.
#include "deliveryfixture.h"

#include <delivery/plaindelivery.h>
#include <delivery/streamdelivery.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class suspect_guard_test : public delivery_fixture
{
protected:
    suspect_guard_test()
    {
        constexpr int engines = 6;
        for (int number = 1; number <= engines; ++number) {
            this->put_engine("e" + std::to_string(number), number, {0, 8});
            this->put_service("s" + std::to_string(number), number);
        }
        this->put_engine("tail", engines + 1, {8, 16});
    }

    /// Retry of the same request: a new id with the same path, account and body.
    std::shared_ptr<stream_delivery> start_stream()
    {
        this->caller = {};
        auto delivery = std::make_shared<stream_delivery>(
            *this->context, this->make_order(route_kind::stream), this->make_caller(), [] {});
        delivery->start();
        return delivery;
    }

    std::shared_ptr<plain_delivery> start_plain(route_kind kind)
    {
        this->caller = {};
        auto delivery = std::make_shared<plain_delivery>(
            *this->context, this->make_order(kind), this->make_caller(), [] {});
        delivery->start();
        return delivery;
    }

    [[nodiscard]] suspect_id content() { return suspect_id(this->make_order(route_kind::stream).content()); }

    [[nodiscard]] static suspect_id part(const std::string& id) { return suspect_id(prompt_part_id(id)); }

    /// Starts a stream of a request that is like no other, with these parts in its prompt.
    std::shared_ptr<stream_delivery> start_with_parts(const std::vector<std::string>& parts)
    {
        this->caller = {};
        delivery_order order = this->make_order(route_kind::stream);
        order.request.body = "body " + std::to_string(this->bodies++);
        for (const std::string& id : parts) {
            order.request.shared_parts.emplace_back(id);
        }
        auto delivery =
            std::make_shared<stream_delivery>(*this->context, std::move(order), this->make_caller(), [] {});
        delivery->start();
        return delivery;
    }

    /// Engines crash under so many unlike requests with these parts, whose callers then leave.
    void crash_engines_with(const std::vector<std::string>& parts, unsigned count)
    {
        constexpr int tail_number = 99;
        for (unsigned number = 0; number < count; ++number) {
            this->directory.replace({}, this->now);
            this->put_engine("crashing" + std::to_string(number), static_cast<int>(number) + 50, {0, 8});
            this->put_engine("tail", tail_number, {8, 16});
            const auto stream = this->start_with_parts(parts);
            end(this->last_send(), call_ending::broken);
            stream->abandon();
        }
        this->directory.replace({}, this->now);
        this->put_engine("e1", 1, {0, 8});
        this->put_engine("e2", 2, {0, 8});
        this->put_engine("tail", tail_number, {8, 16});
    }

    send_decision judge(const suspect_id& suspect)
    {
        return this->suspects.assess({suspect}, this->now).decision;
    }

    send_decision judge() { return this->suspects.assess({this->content()}, this->now).decision; }

    /// Two tries during which four engines crash.
    void end_engines()
    {
        for (int round = 0; round < 2; ++round) {
            this->start_stream();
            end(this->last_send(), call_ending::broken);
            if (!this->caller.answer) {
                end(this->last_send(), call_ending::broken);
            }
        }
    }

    void answer_claim(bool is_given)
    {
        ASSERT_FALSE(this->claims.empty());
        const auto answer = this->claims.back().second;
        this->claims.pop_back();
        answer(is_given);
    }

    unsigned bodies = 0;
};

TEST_F(suspect_guard_test, retries_of_one_request_share_its_content_digest)
{
    delivery_order order = this->make_order(route_kind::stream);
    order.request.path = "/a";
    order.request.body = "b";
    const request_content content = order.content();
    order.request.id = request_id("r2");
    order.request.method = "PUT";
    EXPECT_EQ(order.content(), content);
    order.account = client_account_id("one");
    EXPECT_NE(order.content(), content);
    order.account.reset();
    order.request.path = "/ab";
    order.request.body = "";
    EXPECT_NE(order.content(), content);
}

TEST_F(suspect_guard_test, a_request_without_suspicions_needs_no_clearance)
{
    this->start_stream();
    EXPECT_EQ(this->sends.size(), 1U);
    EXPECT_TRUE(this->claims.empty());
    EXPECT_TRUE(this->suspects.is_empty());
}

TEST_F(suspect_guard_test, a_lost_relaying_host_is_no_crash_of_the_upstream)
{
    for (int round = 0; round < 3; ++round) {
        this->start_stream();
        end(this->last_send(), call_ending::relay_lost);
        end(this->last_send(), call_ending::relay_lost);
    }
    EXPECT_TRUE(this->suspects.is_empty());
}

// Guards against sending a request that crashes each engine again and again from any host.
TEST_F(suspect_guard_test, a_request_needs_a_trial_after_three_upstream_crashes)
{
    this->end_engines();
    EXPECT_EQ(this->sends.size(), 3U) << "the fourth send waits for leave";
    ASSERT_EQ(this->claims.size(), 1U);
    EXPECT_EQ(this->claims.back().first, suspect_list{this->content()});
    this->answer_claim(false);
    ASSERT_TRUE(this->caller.answer);
    EXPECT_EQ(this->caller.answer->status, 503) << "a stream that may be resumed may come back";
    this->suspects.note_trials(this->content(), {3, 0}, this->now);
    this->start_stream();
    ASSERT_TRUE(this->caller.answer) << "what can't be served is refused at once";
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(find_header(this->caller.answer->headers, "retry-after"), "600.000");
    EXPECT_EQ(this->sends.size(), 3U);
    EXPECT_TRUE(this->claims.empty());
}

// A request whose engines crashed for another reason is served by its first trial and is cleared afterwards.
TEST_F(suspect_guard_test, a_harmless_suspect_request_is_served_by_its_trial)
{
    this->end_engines();
    this->answer_claim(true);
    ASSERT_EQ(this->sends.size(), 4U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(0, 3));
    end(this->last_send());
    EXPECT_TRUE(this->caller.is_finished);
    EXPECT_EQ(this->caller.body, events(0, 3));
    EXPECT_EQ(this->judge(), send_decision::free);
    this->start_stream();
    EXPECT_EQ(this->sends.size(), 5U);
    EXPECT_TRUE(this->claims.empty());
}

TEST_F(suspect_guard_test, a_trial_covers_one_send_that_reaches_an_engine)
{
    this->end_engines();
    this->answer_claim(true);
    end(this->last_send(), call_ending::not_connected);
    ASSERT_EQ(this->sends.size(), 5U) << "nothing came of the leave, so it holds";
    this->suspects.note_trials(this->content(), {1, 0}, this->now);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 5U);
    ASSERT_TRUE(this->caller.answer);
}

TEST_F(suspect_guard_test, crashes_after_the_start_phase_are_not_counted)
{
    for (int round = 0; round < 4; ++round) {
        this->start_stream();
        give_head(this->last_send(), 200, signed_head());
        this->last_send().handlers.on_body(events(0, 1));
        this->pass(300ms);
        end(this->last_send(), call_ending::broken);
        this->pass(5s);
    }
    EXPECT_EQ(this->judge(), send_decision::free);
}

TEST_F(suspect_guard_test, simultaneous_engine_crashes_under_one_send_count_once)
{
    this->directory.replace({}, this->now);
    this->put_engine("a", 11, {0, 4});
    this->put_engine("b", 12, {4, 8});
    this->put_engine("c", 13, {8, 12});
    this->put_engine("d", 14, {12, 16});
    const auto stream = this->start_stream();
    for (const char* name : {"b", "c", "d"}) {
        stream->leave_upstreams({upstream_id(name)});
    }
    EXPECT_FALSE(this->suspects.is_empty());
    EXPECT_EQ(this->judge(), send_decision::free);
    stream->abandon();
}

TEST_F(suspect_guard_test, a_caller_that_disconnects_while_a_trial_is_requested_causes_no_send)
{
    this->end_engines();
    const std::size_t before = this->sends.size();
    const auto stream = this->start_stream();
    stream->abandon();
    this->answer_claim(true);
    EXPECT_EQ(this->sends.size(), before);
}

// Guards against sending unlike requests with one part in common that crashes each engine.
TEST_F(suspect_guard_test, unlike_requests_with_a_part_in_common_need_a_trial_after_three_upstream_crashes)
{
    this->crash_engines_with({"aa", "bb"}, 3);
    const std::size_t before = this->sends.size();
    this->start_with_parts({"aa", "bb"});
    ASSERT_TRUE(this->caller.answer) << "the two parts are not told apart yet, and waiting would not help";
    EXPECT_EQ(this->caller.answer->status, 503);
    this->start_with_parts({"bb"});
    EXPECT_EQ(this->sends.size(), before);
    ASSERT_EQ(this->claims.size(), 1U);
    EXPECT_EQ(this->claims.back().first, suspect_list{part("bb")});
    this->start_with_parts({"cc"});
    EXPECT_EQ(this->sends.size(), before + 1) << "others are served";
}

// Guards against using up the trials of a sound part by requests that crash engines for another one.
TEST_F(suspect_guard_test, a_suspect_part_is_not_tried_at_once_beside_one_that_never_passed)
{
    this->crash_engines_with({"bb"}, 3);
    const std::size_t before = this->sends.size();
    this->start_with_parts({"aa", "bb"});
    ASSERT_TRUE(this->caller.answer);
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_EQ(this->sends.size(), before);
    this->suspects.note_passed({part("aa")}, this->now);
    const std::size_t claims_before = this->claims.size();
    this->start_with_parts({"aa", "bb"});
    EXPECT_EQ(this->claims.size(), claims_before + 1);
    EXPECT_EQ(this->claims.back().first, suspect_list{part("bb")});
}

TEST_F(suspect_guard_test, a_stream_past_its_beginning_clears_its_parts)
{
    this->crash_engines_with({"aa"}, 3);
    this->start_with_parts({"aa"});
    this->answer_claim(true);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(0, 1));
    this->pass(200ms);
    this->last_send().handlers.on_body(events(1, 2));
    EXPECT_NE(this->judge(part("aa")), send_decision::free) << "it may crash the engine yet";
    this->pass(100ms);
    this->last_send().handlers.on_body(events(2, 3));
    EXPECT_EQ(this->judge(part("aa")), send_decision::free);
}

// Guards against callers that have parts of others held by leaving their own requests.
TEST_F(suspect_guard_test, a_caller_that_leaves_blames_nothing_that_its_prompt_holds)
{
    for (int round = 0; round < 4; ++round) {
        const auto stream = this->start_with_parts({"aa"});
        give_head(this->last_send(), 200, signed_head());
        this->last_send().handlers.on_body(events(0, 1));
        stream->abandon();
    }
    EXPECT_TRUE(this->suspects.is_empty());
}

// Guards against clearing a part by an engine that failed before it wrote anything.
TEST_F(suspect_guard_test, an_error_status_of_an_engine_clears_nothing)
{
    this->crash_engines_with({"aa"}, 3);
    this->start_with_parts({"aa"});
    for (int run = 0; run < 2; ++run) {
        this->answer_claim(true);
        give_head(this->last_send(), 504, signed_head());
        end(this->last_send());
    }
    ASSERT_TRUE(this->caller.answer);
    EXPECT_EQ(this->caller.answer->status, 504);
    EXPECT_NE(this->judge(part("aa")), send_decision::free);
}

// Guards against taking an answer that ended with its connection before any event for a whole one.
TEST_F(suspect_guard_test, a_stream_that_ends_before_its_first_event_is_a_crash_and_not_a_whole_answer)
{
    this->start_with_parts({"aa"});
    give_head(this->last_send(), 200, signed_head());
    end(this->last_send());
    EXPECT_FALSE(this->caller.is_finished);
    EXPECT_EQ(this->sends.size(), 2U) << "it goes on at another engine";
    EXPECT_FALSE(this->suspects.is_empty());
}

TEST_F(suspect_guard_test, a_plain_service_call_of_a_suspect_request_needs_a_trial)
{
    for (int round = 0; round < 3; ++round) {
        this->start_plain(route_kind::single_run);
        end(this->last_send(), call_ending::broken);
        EXPECT_EQ(this->caller.answer->status, 502) << "it may have run";
    }
    this->start_plain(route_kind::single_run);
    EXPECT_EQ(this->sends.size(), 3U);
    EXPECT_FALSE(this->caller.answer);
    this->answer_claim(true);
    ASSERT_EQ(this->sends.size(), 4U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body("body");
    end(this->last_send());
    EXPECT_EQ(this->caller.answer->status, 200);
    EXPECT_EQ(this->judge(), send_decision::free);
}

} // namespace

} // namespace sailtiller::tests
