// SPDX-License-Identifier: Apache-2.0
// Answers of upstreams that go on without end, or aren't what they should be.
#include "streamdeliveryfixture.h"

#include <delivery/plaindelivery.h>

#include <algorithm>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// Bytes of a block of an endless answer, and blocks after which it must have been broken off.
constexpr std::size_t block_bytes = std::size_t{64} << 10U;
constexpr std::size_t max_event_blocks = 17;
constexpr std::size_t max_answer_blocks = 1025;

class endless_answers_test : public stream_delivery_fixture
{
protected:
    endless_answers_test()
    {
        this->put_engine("second", 3, {0, 8});
        this->context->log = [this](const delivery_event& event) {
            this->logged.emplace_back(event.what, event.detail);
        };
        this->context->count_answer_fault = [this](answer_fault fault) { this->faults.push_back(fault); };
    }

    /// Sends the same bytes until the call is cancelled; returns how many it took.
    static std::size_t send_until_cancelled(fake_send& send, const std::string& bytes, std::size_t max_count)
    {
        std::size_t count = 0;
        while (!send.is_cancelled && count < max_count) {
            send.handlers.on_body(bytes);
            ++count;
        }
        EXPECT_TRUE(send.is_cancelled);
        return count;
    }

    void start_plain(route_kind kind)
    {
        this->put_service("p1", 5);
        this->put_service("p2", 6);
        this->plain = std::make_shared<plain_delivery>(
            *this->context, this->make_order(kind), this->make_caller(), [this] { ++this->done; });
        this->plain->start();
        EXPECT_TRUE(this->last_send().handlers.may_send());
    }

    /// Returns true if some log line has this text in its detail.
    bool has_logged(const std::string& text) const
    {
        return std::any_of(this->logged.begin(), this->logged.end(),
            [&text](const auto& line) { return line.second.find(text) != std::string::npos; });
    }

    std::shared_ptr<plain_delivery> plain;
    std::vector<std::pair<event_type, std::string>> logged;
    std::vector<answer_fault> faults;
};

TEST_F(endless_answers_test, a_stream_goes_on_elsewhere_after_an_endless_event)
{
    const auto delivery = this->start_streaming(2);
    fake_send& first = this->last_send();
    const upstream_id first_head = this->last_target();
    send_until_cancelled(first, std::string(block_bytes, 'x'), max_event_blocks);
    EXPECT_EQ(this->caller.body, events(0, 2));
    ASSERT_EQ(this->sends.size(), 2U);
    EXPECT_NE(this->last_target(), first_head);
    EXPECT_EQ(this->faults, std::vector{answer_fault::event_bytes});
    EXPECT_TRUE(this->has_logged("broken off: malformed answer, event_bytes after 2 events"));
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(events(2, 4));
    end(this->last_send());
    EXPECT_EQ(this->caller.body, events(0, 4));
    EXPECT_TRUE(this->caller.is_finished);
}

TEST_F(endless_answers_test, the_caller_gets_no_byte_that_is_no_event)
{
    const auto delivery = this->start_streaming(2);
    fake_send& first = this->last_send();
    first.handlers.on_body(events(2, 3) + "these bytes are no event\n\n" + events(3, 4));
    EXPECT_TRUE(first.is_cancelled);
    EXPECT_EQ(this->caller.body, events(0, 3));
    EXPECT_EQ(this->faults, std::vector{answer_fault::event_form});
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(endless_answers_test, an_event_that_comes_byte_by_byte_is_broken_off_after_its_time)
{
    const auto delivery = this->start_streaming(2);
    fake_send& first = this->last_send();
    for (int count = 0; count < 40 && !first.is_cancelled; ++count) {
        first.handlers.on_body("x");
        this->pass(100ms);
    }
    EXPECT_TRUE(first.is_cancelled);
    EXPECT_EQ(this->faults, std::vector{answer_fault::event_time});
}

TEST_F(endless_answers_test, a_long_sound_stream_is_not_cut)
{
    const auto delivery = this->start_streaming(0);
    fake_send& first = this->last_send();
    const std::string event = "id: 1\ndata: " + std::string(block_bytes, 'x') + "\n\n";
    constexpr std::size_t count = 4 * max_event_blocks;
    for (std::size_t number = 0; number < count; ++number) {
        first.handlers.on_body(event.substr(0, 100)); // events may come in parts
        first.handlers.on_body(event.substr(100));
    }
    end(first);
    EXPECT_TRUE(this->caller.is_finished);
    EXPECT_EQ(this->caller.body.size(), count * event.size());
    EXPECT_TRUE(this->faults.empty());
}

TEST_F(endless_answers_test, an_endless_refusal_counts_as_a_run)
{
    const auto delivery = this->start();
    EXPECT_TRUE(this->last_send().handlers.may_send());
    fake_send& first = this->last_send();
    give_head(first, 503, {{"id", "r1"}, {"not-run", "1"}});
    send_until_cancelled(first, std::string(block_bytes, 'x'), max_event_blocks);
    EXPECT_EQ(this->faults, std::vector{answer_fault::body_bytes});
    EXPECT_TRUE(this->has_logged("runs 1 of 2"));
}

TEST_F(endless_answers_test, a_repeatable_plain_request_goes_elsewhere_after_an_endless_body)
{
    this->start_plain(route_kind::repeatable);
    fake_send& first = this->last_send();
    give_head(first, 200, signed_head());
    send_until_cancelled(first, std::string(block_bytes, 'x'), max_answer_blocks);
    EXPECT_EQ(this->faults, std::vector{answer_fault::body_bytes});
    ASSERT_EQ(this->sends.size(), 2U);
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body("sound");
    end(this->last_send());
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->body, "sound");
}

TEST_F(endless_answers_test, a_plain_request_that_may_run_once_ends_with_an_unknown_outcome)
{
    for (const char* refusal : {"", "1"}) {
        this->caller = {};
        this->start_plain(route_kind::single_run);
        fake_send& first = this->last_send();
        http_headers head = signed_head();
        if (*refusal != 0) {
            head.push_back({"not-run", refusal});
        }
        give_head(first, *refusal == 0 ? 200 : 503, head);
        send_until_cancelled(first, std::string(block_bytes, 'x'), max_answer_blocks);
        ASSERT_TRUE(this->caller.answer.has_value());
        EXPECT_EQ(this->caller.answer->status, 502) << "it may have run";
    }
}

// Guards against a host that runs out of memory, and takes all its requests along, while every single answer
// is within its bound.
TEST_F(endless_answers_test, many_at_once_hold_no_more_than_one_may)
{
    this->put_service("p1", 5);
    std::vector<std::shared_ptr<plain_delivery>> deliveries;
    constexpr std::size_t count = 20;
    for (std::size_t number = 0; number < count; ++number) {
        deliveries.push_back(std::make_shared<plain_delivery>(*this->context,
            this->make_order(route_kind::single_run), this->make_caller(), [this] { ++this->done; }));
        deliveries.back()->start();
        give_head(this->last_send(), 200, signed_head());
    }
    ASSERT_EQ(this->sends.size(), count);
    const std::string block(block_bytes, 'x');
    std::size_t most_held = 0;
    for (std::size_t round = 0; round < max_answer_blocks; ++round) {
        for (const auto& send : this->sends) {
            if (!send->is_cancelled) {
                send->handlers.on_body(block);
            }
            most_held = std::max(most_held, this->context->answer_memory->held());
        }
    }
    EXPECT_LE(most_held, max_answer_blocks * block_bytes);
    EXPECT_FALSE(this->faults.empty());
    EXPECT_EQ(this->faults.front(), answer_fault::host_memory);
    EXPECT_EQ(this->done, static_cast<int>(count));
    EXPECT_EQ(this->context->answer_memory->held(), 0U) << "what has ended holds nothing";
}

// A fault of others is no reason to lose an answer of the usual size.
TEST_F(endless_answers_test, a_small_answer_is_whole_while_large_ones_hold_all_memory)
{
    this->start_plain(route_kind::single_run);
    ASSERT_TRUE(this->context->answer_memory->take(max_held_answer_bytes));
    give_head(this->last_send(), 200, signed_head());
    this->last_send().handlers.on_body(std::string(block_bytes, 'x'));
    end(this->last_send());
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->body.size(), block_bytes);
    EXPECT_TRUE(this->faults.empty());
}

TEST_F(endless_answers_test, a_large_sound_plain_answer_is_passed_on)
{
    this->start_plain(route_kind::repeatable);
    give_head(this->last_send(), 200, signed_head());
    const std::string block(block_bytes, 'x');
    for (std::size_t count = 0; count + 1 < max_answer_blocks; ++count) {
        this->last_send().handlers.on_body(block);
    }
    end(this->last_send());
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->body.size(), (max_answer_blocks - 1) * block_bytes);
    EXPECT_TRUE(this->faults.empty());
}

} // namespace

} // namespace sailtiller::tests
