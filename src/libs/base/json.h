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

/// Levels of objects and lists in a document. Schemas of callers' tools have some dozen.
constexpr std::size_t max_json_depth = 100;

/// Text or bytes that are no document, or one beyond a bound. The reason is short whatever was read.
class json_malformed : public json::exception
{
public:
    explicit json_malformed(const std::string& reason);
};

/// Parses JSON text of any origin; throws `json_malformed`.
json parse_json(std::string_view text);
/// Parses JSON text and adds a fault for malformed text (with its byte offset) and for each doubled field.
/// Returns null JSON if the text is malformed.
json parse_json(std::string_view text, std::vector<json_fault>& faults);
/// Parses CBOR, the format of messages between hosts; throws `json_malformed`.
json parse_cbor(std::string_view bytes);

} // namespace sailtiller
