// SPDX-License-Identifier: Apache-2.0
#include <delivery/eventsplitter.h>

#include <algorithm>

namespace sailtiller {

namespace {

constexpr std::string_view id_field = "id";
constexpr std::string_view data_field = "data";

std::string_view skip_byte_order_mark(std::string_view text)
{
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF"; // may precede the first event
    return text.starts_with(byte_order_mark) ? text.substr(byte_order_mark.size()) : text;
}

/// One line of an event.
struct event_field
{
    std::string_view name; ///< empty for a comment
    std::string_view value;
};

event_field read_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return {line, {}};
    }
    return {line.substr(0, colon), line.substr(colon + 1)};
}

/// Returns the id as a header carries it: without the blanks around it. Empty if a header can't carry it.
std::optional<event_id> read_id(std::string_view value)
{
    const std::size_t begin = value.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view id = value.substr(begin, value.find_last_not_of(' ') + 1 - begin);
    constexpr unsigned char delete_character = 0x7F;
    const bool is_printable = std::all_of(id.begin(), id.end(),
        [](unsigned char letter) { return letter >= ' ' && letter != delete_character; });
    if (!is_printable || id.size() > max_event_id_bytes) {
        return std::nullopt;
    }
    return event_id(std::string(id));
}

stream_event read_event(std::string text)
{
    stream_event event;
    std::string_view left = skip_byte_order_mark(text);
    while (!left.empty()) {
        std::string_view line = left.substr(0, left.find('\n'));
        left.remove_prefix(std::min(line.size() + 1, left.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const event_field field = read_field(line);
        if (field.name == id_field) {
            event.id = read_id(field.value);
        }
        event.has_data = event.has_data || field.name == data_field;
    }
    event.text = std::move(text);
    return event;
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
    text = skip_byte_order_mark(text);
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
        events.push_back(read_event(std::move(text)));
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
