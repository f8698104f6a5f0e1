// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

namespace sailtiller {

/// The whole content of a file. Throws `error` with the path if it can't be read.
std::string read_text_file(const std::string& path);
/// Writes a file that only its owner may read if `is_secret`. Throws `error` if it exists or can't be
/// written.
void write_new_text_file(const std::string& path, const std::string& content, bool is_secret);

} // namespace sailtiller
