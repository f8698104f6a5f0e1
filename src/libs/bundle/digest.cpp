// SPDX-License-Identifier: Apache-2.0
#include <bundle/digest.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <vector>

namespace sailtiller {

namespace {

constexpr std::string_view key_digest_prefix = "sha256:";
constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::size_t base64_group = 4;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
        [](char digit) { return hex_digits.find(digit) != std::string_view::npos; });
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(as_bytes(bytes), bytes.size(), digest.data());
    return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

} // namespace

part_digest digest_of(std::string_view bytes)
{
    return part_digest(sha256_hex(bytes));
}

std::string key_digest_of(std::string_view key)
{
    return std::string(key_digest_prefix) + sha256_hex(key);
}

bool is_key_digest(std::string_view text)
{
    const std::size_t length = key_digest_prefix.size() + std::size_t{2} * SHA256_DIGEST_LENGTH;
    return text.size() == length && text.starts_with(key_digest_prefix)
        && is_hex(text.substr(key_digest_prefix.size()));
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::string_view bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += hex_digits[value >> 4U];
        text += hex_digits[value & 15U];
    }
    return text;
}

std::string from_hex(std::string_view text)
{
    if (text.size() % 2 != 0 || !is_hex(text)) {
        return "";
    }
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); index += 2) {
        const std::size_t high = hex_digits.find(text[index]);
        const std::size_t low = hex_digits.find(text[index + 1]);
        bytes += static_cast<char>(high * 16 + low);
    }
    return bytes;
}

std::string to_base64(std::string_view bytes)
{
    std::vector<unsigned char> text(base64_group * ((bytes.size() + 2) / 3) + 1);
    const int length = EVP_EncodeBlock(text.data(), as_bytes(bytes), static_cast<int>(bytes.size()));
    return {reinterpret_cast<const char*>(text.data()), static_cast<std::size_t>(length)};
}

std::string from_base64(std::string_view text)
{
    if (text.size() % base64_group != 0 || text.empty()) {
        return "";
    }
    std::vector<unsigned char> bytes(text.size());
    const int length = EVP_DecodeBlock(bytes.data(), as_bytes(text), static_cast<int>(text.size()));
    if (length < 0) {
        return "";
    }
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    return {reinterpret_cast<const char*>(bytes.data()), static_cast<std::size_t>(length) - padding};
}

} // namespace sailtiller
