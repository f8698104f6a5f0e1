// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailtiller {

/// One whole server-sent event.
struct stream_event
{
    std::string text; ///< with the blank line at its end
    std::optional<std::uint64_t> id; ///< the number in its `id` field
};

/// Cuts a stream of server-sent events into whole ones; an upstream may stop within an event.
class event_splitter
{
public:
    /// Takes bytes and gives the events that are now whole.
    std::vector<stream_event> take(std::string_view bytes);
    /// True if there is a part of an event that never became whole.
    [[nodiscard]] bool has_partial_event() const { return !this->rest.empty(); }
    /// Forgets the part of an event; another answer begins.
    void clear() { this->rest.clear(); }

private:
    std::string rest;
};

} // namespace sailtiller
