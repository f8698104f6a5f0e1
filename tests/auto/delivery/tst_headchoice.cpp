// SPDX-License-Identifier: Apache-2.0
#include "streamdeliveryfixture.h"

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// Two heads with ten slots each, on a host that chooses heads by their slots.
class head_choice_test : public stream_delivery_fixture
{
protected:
    head_choice_test()
    {
        this->put_engine("other", 3, {0, 8});
        this->bundle->pools.front().engine->request_slots = 10;
        this->context->heads = &this->heads;
    }

    void use_slots(unsigned of_head, unsigned of_other)
    {
        this->loads.set_remote_usage({{upstream_id("head"), {100, of_head + 5, of_head}},
            {upstream_id("other"), {100, of_other, of_other}}});
    }

    headroom heads{make_seeded_random(1)};
};

TEST_F(head_choice_test, a_stream_goes_to_the_head_with_free_slots)
{
    this->use_slots(10, 4);
    this->start();
    ASSERT_EQ(this->sends.size(), 1U);
    EXPECT_EQ(this->last_target().value(), "other");
    EXPECT_EQ(this->loads.of(upstream_id("other")).led, 1U);
    EXPECT_EQ(this->loads.of(upstream_id("tail")).led, 0U) << "a later stage uses no slot";
    end(this->last_send());
}

TEST_F(head_choice_test, a_stream_without_a_slot_is_held_and_then_refused)
{
    this->use_slots(10, 10);
    this->start();
    this->pass(99ms);
    EXPECT_TRUE(this->sends.empty());
    EXPECT_FALSE(this->caller.answer.has_value());
    this->pass(30ms);
    ASSERT_TRUE(this->caller.answer.has_value());
    EXPECT_EQ(this->caller.answer->status, 503);
    EXPECT_TRUE(find_header(this->caller.answer->headers, "retry-after").has_value());
    EXPECT_NE(this->caller.answer->body.find("full"), std::string::npos);
}

TEST_F(head_choice_test, a_stream_that_has_begun_is_sent_on_without_a_slot)
{
    this->use_slots(2, 2);
    this->start_streaming(2);
    ASSERT_EQ(this->sends.size(), 1U);
    this->use_slots(10, 10);
    end(this->last_send(), call_ending::broken);
    EXPECT_EQ(this->sends.size(), 2U);
}

TEST_F(head_choice_test, engines_without_slots_are_chosen_as_before)
{
    this->bundle->pools.front().engine->request_slots = 0;
    this->use_slots(1000, 1000);
    this->start();
    EXPECT_EQ(this->sends.size(), 1U);
}

// Guards against streams cut midway that wait for retries used up by first sends that full engines refused.
TEST_F(stream_delivery_fixture, refused_first_sends_leave_retries_to_streams_that_have_begun)
{
    this->retries.set_settings({.ratio = 0, .slack = 10, .window = 10s}); // 8 retries, 3 of them kept
    this->put_engine("other", 3, {0, 8});
    const auto begun = this->start_streaming(2);
    const std::shared_ptr<fake_send> stream = this->sends.back();
    std::vector<std::shared_ptr<stream_delivery>> refused;
    std::size_t retried = 0;
    for (int count = 0; count < 10; ++count) {
        const std::size_t before = this->sends.size();
        refused.push_back(this->start());
        for (std::size_t answered = before; answered < this->sends.size(); ++answered) {
            give_head(*this->sends[answered], 429, {{"id", "r1"}, {"not-run", "1"}});
            end(*this->sends[answered]);
        }
        retried += this->sends.size() - before - 1;
        this->pass(255ms); // engines that refused are avoided for 250 ms
    }
    EXPECT_EQ(retried, 5U);
    EXPECT_EQ(this->caller.answer->status, 503);
    const std::size_t before = this->sends.size();
    end(*stream, call_ending::broken);
    EXPECT_EQ(this->sends.size(), before + 1);
}

} // namespace

} // namespace sailtiller::tests
