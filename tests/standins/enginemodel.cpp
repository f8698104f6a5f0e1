// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <standins/enginemodel.h>

#include <array>

namespace sailtiller::standins {

namespace {

constexpr std::array<const char*, 16> words{"the", "layer", "was", "read", "and", "meter", "image", "note",
    "changed", "from", "to", "with", "draft", "bill", "tag", "value"};
/// One token in so many ends the text.
constexpr std::uint64_t stop_divisor = 61;

} // namespace

std::uint64_t begin_hidden(const std::string& prompt, const std::vector<std::string>& generated)
{
    std::uint64_t prefix = stable_hash(prompt);
    for (const std::string& token : generated) {
        prefix = extend_hidden(prefix, token);
    }
    return prefix;
}

std::uint64_t extend_hidden(std::uint64_t prefix, const std::string& token)
{
    return stable_hash(token, prefix);
}

std::uint64_t run_layers(std::uint64_t hidden, const layer_range& layers)
{
    for (std::uint32_t layer = layers.first.value(); layer <= layers.last.value(); ++layer) {
        hidden = stable_hash("layer " + std::to_string(layer), hidden);
    }
    return hidden;
}

generated_token make_token(std::uint64_t hidden, std::uint32_t position, std::uint32_t most_tokens)
{
    generated_token token;
    token.text = std::string(position == 0 ? "" : " ") + words[hidden % words.size()];
    if (hidden % stop_divisor == 0) {
        token.is_last = true;
        token.finish_reason = "stop";
    } else if (position + 1 >= most_tokens) {
        token.is_last = true;
        token.finish_reason = "length";
    }
    return token;
}

std::string expected_text(const std::string& prompt, std::uint32_t layers, std::uint32_t most_tokens)
{
    std::vector<std::string> tokens;
    std::string text;
    const layer_range all{layer_index(0), layer_index(layers - 1)};
    while (true) {
        const std::uint64_t hidden = run_layers(begin_hidden(prompt, tokens), all);
        const generated_token token =
            make_token(hidden, static_cast<std::uint32_t>(tokens.size()), most_tokens);
        text += token.text;
        tokens.push_back(token.text);
        if (token.is_last) {
            return text;
        }
    }
}

} // namespace sailtiller::standins
