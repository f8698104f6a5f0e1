// SPDX-License-Identifier: Apache-2.0
#include <fleet/suspectid.h>

namespace sailtiller {

namespace {

/// Not hexadecimal, so that no content begins with it.
constexpr std::string_view part_prefix = "part:";

} // namespace

std::string_view name_of(suspect_kind kind)
{
    switch (kind) {
    case suspect_kind::request:
        return "request";
    case suspect_kind::prompt_part:
        return "prompt_part";
    }
    return "unknown";
}

std::string write_suspect_key(const suspect_id& suspect)
{
    const bool is_part = suspect.kind == suspect_kind::prompt_part;
    return std::string(is_part ? part_prefix : std::string_view()) + suspect.value;
}

suspect_id read_suspect_key(const std::string& key)
{
    if (key.starts_with(part_prefix)) {
        return suspect_id(prompt_part_id(key.substr(part_prefix.size())));
    }
    return suspect_id(request_content(key));
}

} // namespace sailtiller
