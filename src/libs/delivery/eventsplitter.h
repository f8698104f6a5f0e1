// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/answerfault.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailtiller {

/// Largest event of a stream, which carries some tokens and what the model tells of them: some kilobytes.
constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

/// Complete server-sent event.
struct stream_event
{
    std::string text; ///< including the blank line at the end
    std::optional<std::uint64_t> id; ///< number in the `id` field
};

/// Splits a byte stream into complete server-sent events; an upstream may stop within an event. What follows
/// an event that is too large, or is none, is not read.
class event_splitter
{
public:
    /// Appends bytes and returns the events completed by them, up to the first fault.
    std::vector<stream_event> take(std::string_view bytes);
    /// Returns true if an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !this->rest.empty(); }
    /// Why the bytes that follow the returned events are none.
    [[nodiscard]] const std::optional<answer_fault>& fault() const { return this->found_fault; }
    /// Discards the incomplete event before the next answer starts.
    void clear();

private:
    std::string rest;
    std::optional<answer_fault> found_fault;
};

} // namespace sailtiller
