// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <optional>
#include <string>
#include <vector>

namespace sailtiller {

enum class step_kind {
    prefill, ///< runs the prompt and the tokens made so far, and gives the next token
    decode ///< runs one token over the state that the attempt's earlier steps left
};

/// One token's pass through the layers of one stage.
struct step_request
{
    stream_id stream;
    attempt_number attempt;
    token_position position; ///< of the token that this pass is to make
    model_id model;
    layer_range layers;
    step_kind kind = step_kind::prefill;
    std::int32_t priority = 0;
    std::string input; ///< first stage: prompt or last token; others: the stage before's output
    std::string parameters; ///< prefill: the caller's sampling parameters as JSON text
    std::vector<std::string> generated; ///< first stage of a prefill: the tokens made so far
    std::uint32_t most_tokens = 0; ///< the stream ends after so many tokens
};

/// A token that the last stage of a chain made.
struct generated_token
{
    std::string text;
    bool is_last = false;
    std::string finish_reason; ///< "stop" or "length", with the last token
};

/// What a stage gave for one step. Stream, attempt and position must be those of the request.
struct step_answer
{
    stream_id stream;
    attempt_number attempt;
    token_position position;
    std::string output; ///< for the next stage
    std::optional<generated_token> token; ///< from the last stage only
    std::optional<std::uint32_t> streams_running; ///< the engine's load, where it tells it
};

} // namespace sailtiller
