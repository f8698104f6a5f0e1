// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailtiller {

/// Complete server-sent event.
struct stream_event
{
    std::string text; ///< including the blank line at the end
    std::optional<std::uint64_t> id; ///< number in the `id` field
};

/// Splits a byte stream into complete server-sent events; an upstream may stop within an event.
class event_splitter
{
public:
    /// Appends bytes and returns the events completed by them.
    std::vector<stream_event> take(std::string_view bytes);
    /// Returns true if an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !this->rest.empty(); }
    /// Discards the incomplete event before the next answer starts.
    void clear() { this->rest.clear(); }

private:
    std::string rest;
};

} // namespace sailtiller
