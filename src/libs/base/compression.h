// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sailtiller {

/// Packs text for the wire, as zlib does at its fastest level.
std::string pack_text(std::string_view text);
/// The text of packed bytes. Throws `error` if they are malformed, or if the text has more than `most_bytes`.
std::string unpack_text(std::string_view packed, std::size_t most_bytes);

} // namespace sailtiller
