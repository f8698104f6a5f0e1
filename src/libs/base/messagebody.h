// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace sailtiller {

class memory_share;

/// The body of a message, which doesn't change any more. Copies refer to the same bytes, so that a request
/// that waits, is sent and may be sent again is held once.
class message_body
{
public:
    message_body() = default;
    message_body(std::string text); // NOLINT(google-explicit-constructor): a text is a body
    message_body(const char* text); // NOLINT(google-explicit-constructor)
    /// The share lives as long as the bytes do.
    message_body(std::string text, std::unique_ptr<memory_share> share);

    [[nodiscard]] const std::string& text() const;
    operator const std::string&() const { return this->text(); } // NOLINT(google-explicit-constructor)
    [[nodiscard]] std::size_t size() const { return this->text().size(); }
    [[nodiscard]] bool empty() const { return this->text().empty(); }

    friend bool operator==(const message_body& left, std::string_view right) { return left.text() == right; }

private:
    struct storage;
    std::shared_ptr<const storage> bytes; ///< null if it is empty
};

} // namespace sailtiller
