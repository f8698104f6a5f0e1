// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/answerfault.h>
#include <base/ids.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailtiller {

/// Largest event of a stream, which carries some tokens and what the model tells of them: some kilobytes.
constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

/// Largest id of an event after which a stream can be resumed; the id is then sent in a header.
constexpr std::size_t max_event_id_bytes = 1024;

/// Complete server-sent event.
struct stream_event
{
    std::string text; ///< including the blank line at the end
    std::optional<event_id> id; ///< last `id` field; absent if it can't be sent in a header
    bool has_data = false; ///< comments and fields alone carry no piece of the answer
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
