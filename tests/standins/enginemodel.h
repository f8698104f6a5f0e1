// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/stepmessage.h>

namespace sailtiller::standins {

/// A model whose every token depends on each layer having run once and in order over the prompt and all
/// tokens before it, so that a wrong, doubled or missing layer shows in the text. The same text comes out
/// however the layers are cut into stages.
std::uint64_t begin_hidden(const std::string& prompt, const std::vector<std::string>& generated);
std::uint64_t extend_hidden(std::uint64_t prefix, const std::string& token);
std::uint64_t run_layers(std::uint64_t hidden, const layer_range& layers);
generated_token make_token(std::uint64_t hidden, std::uint32_t position, std::uint32_t most_tokens);
/// The whole text for a prompt.
std::string expected_text(const std::string& prompt, std::uint32_t layers, std::uint32_t most_tokens);

} // namespace sailtiller::standins
