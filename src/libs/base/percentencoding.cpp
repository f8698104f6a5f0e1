// SPDX-License-Identifier: Apache-2.0
#include <base/percentencoding.h>

#include <charconv>

namespace sailtiller {

namespace {

constexpr std::string_view digits = "0123456789ABCDEF";
constexpr unsigned digit_bits = 4;
constexpr unsigned digit_mask = 0xf;
constexpr int digit_base = 16;
constexpr std::size_t digits_a_byte = 2;

/// Letters and digits of ASCII, whatever the locale.
bool is_unreserved(char sign)
{
    constexpr std::string_view marks = "-._~";
    return (sign >= '0' && sign <= '9') || (sign >= 'A' && sign <= 'Z') || (sign >= 'a' && sign <= 'z')
        || marks.find(sign) != std::string_view::npos;
}

} // namespace

std::string percent_encode(std::string_view bytes)
{
    std::string text;
    for (const char sign : bytes) {
        if (is_unreserved(sign)) {
            text += sign;
            continue;
        }
        const auto byte = static_cast<unsigned char>(sign);
        text += '%';
        text += digits[byte >> digit_bits];
        text += digits[byte & digit_mask];
    }
    return text;
}

std::string percent_decode(std::string_view text)
{
    std::string bytes;
    while (!text.empty()) {
        const std::string_view pair = text.substr(1, digits_a_byte);
        unsigned char byte = 0;
        const auto [end, failure] = std::from_chars(pair.data(), pair.data() + pair.size(), byte, digit_base);
        const bool is_encoded = text.front() == '%' && pair.size() == digits_a_byte && failure == std::errc()
            && end == pair.data() + pair.size();
        bytes += is_encoded ? static_cast<char>(byte) : text.front();
        text.remove_prefix(is_encoded ? 1 + digits_a_byte : 1);
    }
    return bytes;
}

} // namespace sailtiller
