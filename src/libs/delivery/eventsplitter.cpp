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

bool is_field_letter(char letter)
{
    const bool is_alphanumeric = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z')
        || (letter >= 'A' && letter <= 'Z');
    return is_alphanumeric || letter == '-' || letter == '_';
}

/// Returns true if each line begins with the name of a field, or is a comment.
bool is_event(std::string_view text)
{
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF"; // may precede the first event
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        const std::string_view name = line.substr(0, line.find_first_of(":\r"));
        if (!std::all_of(name.begin(), name.end(), &is_field_letter)) {
            return false;
        }
        text.remove_prefix(std::min(line.size() + 1, text.size()));
    }
    return true;
}

/// Returns the end of the first event that ends behind `from`, after its blank line; npos if there is none.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    for (std::size_t end = text.find('\n', from); end != std::string_view::npos;
         end = text.find('\n', end + 1)) {
        const std::string_view next = text.substr(end + 1, 2);
        if (next.starts_with('\n')) {
            return end + 2;
        }
        if (next == "\r\n") {
            return end + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::vector<stream_event> event_splitter::take(std::string_view bytes)
{
    if (this->found_fault) {
        return {};
    }
    // The end of an event, a line end and a blank line, may have come in part.
    constexpr std::size_t max_partial_end = 2;
    const std::size_t searched = this->rest.size() - std::min(this->rest.size(), max_partial_end);
    this->rest += bytes;
    std::vector<stream_event> events;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = find_event_end(this->rest, std::max(begin, searched));
        if (std::min(end, this->rest.size()) - begin > max_event_bytes) {
            this->found_fault = answer_fault::event_bytes;
        }
        if (end == std::string::npos || this->found_fault) {
            break;
        }
        std::string text = this->rest.substr(begin, end - begin);
        if (!is_event(text)) {
            this->found_fault = answer_fault::event_form;
            break;
        }
        const std::optional<std::uint64_t> id = read_id(text);
        events.push_back({std::move(text), id});
        begin = end;
    }
    this->rest.erase(0, begin);
    return events;
}

void event_splitter::clear()
{
    this->rest.clear();
    this->found_fault.reset();
}

} // namespace sailtiller
