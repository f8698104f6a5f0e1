// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <engines/stepcodec.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

step_request make_step()
{
    step_request step;
    step.stream = stream_id("stream");
    step.attempt = attempt_number(2);
    step.position = token_position(3);
    step.model = model_id("model");
    step.layers = {layer_index(4), layer_index(7)};
    step.priority = -5;
    step.input = std::string("raw\0bytes\xff", 10);
    step.parameters = "{}";
    step.generated = {"a", " b"};
    step.most_tokens = 9;
    return step;
}

TEST(step_codec, a_request_survives_the_way_there)
{
    const step_request step = make_step();
    const step_request again = decode_step_request(encode_step_request(step));
    EXPECT_EQ(again.stream, step.stream);
    EXPECT_EQ(again.attempt, step.attempt);
    EXPECT_EQ(again.position, step.position);
    EXPECT_EQ(again.layers, step.layers);
    EXPECT_EQ(again.input, step.input);
    EXPECT_EQ(again.generated, step.generated);
    EXPECT_EQ(again.priority, step.priority);
    EXPECT_EQ(again.most_tokens, step.most_tokens);
}

TEST(step_codec, an_answer_survives_the_way_back)
{
    const step_answer answer{stream_id("s"), attempt_number(1), token_position(0), "hidden",
        generated_token{"text", true, "stop"}, 12};
    const step_answer again = decode_step_answer(encode_step_answer(answer));
    EXPECT_EQ(again.output, "hidden");
    ASSERT_TRUE(again.token);
    EXPECT_EQ(again.token->text, "text");
    EXPECT_TRUE(again.token->is_last);
    EXPECT_EQ(again.streams_running, 12U);
}

TEST(step_codec, every_message_that_was_cut_short_is_refused)
{
    const std::string whole = encode_step_request(make_step());
    const std::size_t head_end = whole.size() - make_step().input.size();
    for (std::size_t length = 0; length < head_end; ++length) {
        EXPECT_THROW(decode_step_request(whole.substr(0, length)), error) << length;
    }
    EXPECT_THROW(decode_step_answer("\xff\xff\xff\xff nonsense"), error);
    EXPECT_THROW(decode_step_answer(encode_step_request(make_step()).replace(4, 1, "\x01")), error);
}

} // namespace

} // namespace sailtiller
