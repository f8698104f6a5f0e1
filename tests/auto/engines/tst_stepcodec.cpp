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

TEST(step_codec, request_round_trip_keeps_fields)
{
    const step_request step = make_step();
    const step_request decoded = decode_step_request(encode_step_request(step));
    EXPECT_EQ(decoded.stream, step.stream);
    EXPECT_EQ(decoded.attempt, step.attempt);
    EXPECT_EQ(decoded.position, step.position);
    EXPECT_EQ(decoded.layers, step.layers);
    EXPECT_EQ(decoded.input, step.input);
    EXPECT_EQ(decoded.generated, step.generated);
    EXPECT_EQ(decoded.priority, step.priority);
    EXPECT_EQ(decoded.most_tokens, step.most_tokens);
}

TEST(step_codec, answer_round_trip_keeps_fields)
{
    const step_answer answer{stream_id("s"), attempt_number(1), token_position(0), "hidden",
        generated_token{"text", true, "stop"}, 12};
    const step_answer decoded = decode_step_answer(encode_step_answer(answer));
    EXPECT_EQ(decoded.output, "hidden");
    ASSERT_TRUE(decoded.token);
    EXPECT_EQ(decoded.token->text, "text");
    EXPECT_TRUE(decoded.token->is_last);
    EXPECT_EQ(decoded.streams_running, 12U);
}

TEST(step_codec, truncated_and_malformed_messages_are_rejected)
{
    const std::string encoded = encode_step_request(make_step());
    const std::size_t head_end = encoded.size() - make_step().input.size();
    for (std::size_t length = 0; length < head_end; ++length) {
        EXPECT_THROW(decode_step_request(encoded.substr(0, length)), error) << length;
    }
    EXPECT_THROW(decode_step_answer("\xff\xff\xff\xff nonsense"), error);
    EXPECT_THROW(decode_step_answer(encode_step_request(make_step()).replace(4, 1, "\x01")), error);
}

} // namespace

} // namespace sailtiller
