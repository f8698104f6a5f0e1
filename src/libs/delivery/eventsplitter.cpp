// SPDX-License-Identifier: Apache-2.0
#include <delivery/eventsplitter.h>

#include <algorithm>
#include <charconv>

namespace sailtiller {

namespace {

constexpr std::string_view id_field = "id:";

/// Returns the number after `id:` at the start of one of the event's lines.
std::optional<std::uint64_t> read_id(std::string_view text)
{
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        std::string_view line = text.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(id_field)) {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        const auto [stop, failure] = std::from_chars(line.data(), line.data() + line.size(), number);
        return failure == std::errc() ? std::optional(number) : std::nullopt;
    }
    return std::nullopt;
}

/// Returns the end of the first event in the text, after its blank line; empty if the event is incomplete.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    const std::size_t plain = text.find("\n\n", from);
    const std::size_t returned = text.find("\r\n\r\n", from);
    if (plain == std::string_view::npos && returned == std::string_view::npos) {
        return std::string_view::npos;
    }
    return plain < returned ? plain + 2 : returned + 4;
}

} // namespace

std::vector<stream_event> event_splitter::take(std::string_view bytes)
{
    this->rest += bytes;
    std::vector<stream_event> events;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = find_event_end(this->rest, begin);
        if (end == std::string::npos) {
            break;
        }
        std::string text = this->rest.substr(begin, end - begin);
        const std::optional<std::uint64_t> id = read_id(text);
        events.push_back({std::move(text), id});
        begin = end;
    }
    this->rest.erase(0, begin);
    return events;
}

} // namespace sailtiller
