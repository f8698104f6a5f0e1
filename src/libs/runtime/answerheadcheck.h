// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sailtiller {

/// Checks the heads of an answer by RFC 9110 and 9112 before the parser sees them, which lets names with
/// blanks, control bytes, folded lines and any status pass. A head that two readers may take differently is
/// none.
class answer_head_check
{
public:
    /// Takes further bytes; those behind the final head are passed over. Returns what is wrong with them, if
    /// anything is.
    std::optional<std::string> take(std::string_view bytes);

private:
    std::optional<std::string> take_line();
    std::optional<std::string> take_status_line();
    std::optional<std::string> take_field();
    std::optional<std::string> take_length(std::string_view value);
    std::optional<std::string> take_coding(std::string_view value);
    std::optional<std::string> end_head();

    std::string line; ///< as far as it has come
    bool is_in_head = false; ///< the status line has come
    bool is_done = false; ///< the final head has ended
    bool has_length = false;
    bool has_coding = false;
    unsigned minor_version = 0;
    int status = 0;
};

} // namespace sailtiller
