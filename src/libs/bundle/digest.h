// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <string_view>

namespace sailtiller {

/// SHA-256 of a part's bytes as its content address.
part_digest digest_of(std::string_view bytes);
/// The form in which a bundle keeps a caller's key: "sha256:" and the digest of the key.
std::string key_digest_of(std::string_view key);
[[nodiscard]] bool is_key_digest(std::string_view text);
/// Compares in a time that doesn't depend on where two texts of the same length differ.
[[nodiscard]] bool is_equal_in_constant_time(std::string_view left, std::string_view right);

std::string to_hex(std::string_view bytes);
/// The bytes of hexadecimal text; empty if the text isn't hexadecimal.
std::string from_hex(std::string_view text);
std::string to_base64(std::string_view bytes);
/// The bytes of base64 text; empty if the text isn't base64.
std::string from_base64(std::string_view text);

} // namespace sailtiller
