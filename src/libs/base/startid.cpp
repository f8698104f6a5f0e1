// SPDX-License-Identifier: Apache-2.0
#include <base/startid.h>

#include <string_view>

namespace sailtiller {

namespace {

/// Stands between the name and the mark of the start; a name may hold it too, so the last one counts.
constexpr char mark_separator = '@';
/// Four digits tell apart starts within 28 minutes of each other, and keep most ids short enough for a string
/// without memory of its own; reports name each upstream by its id.
constexpr std::size_t mark_digits = 4;
constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";

std::string write_mark(start_moment born)
{
    std::string mark;
    std::uint64_t left = born.value();
    while (mark.size() < mark_digits) {
        mark += digits.at(left % digits.size());
        left /= digits.size();
    }
    return mark;
}

} // namespace

upstream_id make_start_id(const std::string& name, const std::optional<start_moment>& born)
{
    if (born) {
        return upstream_id(name + mark_separator + write_mark(*born));
    }
    // An empty mark keeps a separator within the name from being taken for one.
    const bool needs_mark = name.find(mark_separator) != std::string::npos;
    return upstream_id(needs_mark ? name + mark_separator : name);
}

std::string upstream_name(const upstream_id& id)
{
    return id.value().substr(0, id.value().rfind(mark_separator));
}

bool is_older_start(const std::optional<start_moment>& first, const std::optional<start_moment>& second)
{
    return first && second && *first < *second;
}

} // namespace sailtiller
