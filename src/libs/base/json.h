// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace sailtiller {

using json = nlohmann::json;

/// One fault in a document: where it stands, what stands there, and what would be accepted.
struct json_fault
{
    std::string path; ///< JSON pointer, as "/models/0/layers"
    std::string value; ///< the offending value as JSON text; empty if a value is missing
    std::string reason; ///< what is wrong and what is accepted
};

/// Parses JSON text and adds a fault for malformed text (with its byte offset) and for each doubled field.
/// Returns null JSON if the text is malformed.
json parse_json(std::string_view text, std::vector<json_fault>& faults);

} // namespace sailtiller
