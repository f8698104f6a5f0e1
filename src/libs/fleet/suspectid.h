// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <compare>
#include <string>

namespace sailtiller {

/// What may be suspected of crashing upstreams.
enum class suspect_kind {
    request, ///< a whole request, known by its content
    prompt_part ///< a part of prompts, whatever else the requests with it hold
};

/// Text used in the log, on pages and as a label of metrics.
std::string_view name_of(suspect_kind kind);

/// A request or a part of prompts that may be suspected of crashing upstreams.
struct suspect_id
{
    suspect_kind kind = suspect_kind::request;
    std::string value; ///< content of the request, or id of the part

    suspect_id() = default;
    explicit suspect_id(const request_content& content)
        : value(content.value())
    {
    }
    explicit suspect_id(const prompt_part_id& part)
        : kind(suspect_kind::prompt_part)
        , value(part.value())
    {
    }
    auto operator<=>(const suspect_id&) const = default;
};

/// Key of the suspect in reports and in the store, where both kinds stand together. Releases that know no
/// parts read a part's key as the content of a request that never comes.
std::string write_suspect_key(const suspect_id& suspect);
suspect_id read_suspect_key(const std::string& key);

} // namespace sailtiller
