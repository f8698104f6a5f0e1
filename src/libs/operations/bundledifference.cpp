// SPDX-License-Identifier: Apache-2.0
#include <operations/bundledifference.h>

#include <set>

namespace sailtiller {

namespace {

/// Lists of named objects become objects keyed by the names.
json key_by_name(const json& value)
{
    const bool is_named_list =
        value.is_array() && !value.empty() && value.front().is_object() && value.front().contains("name");
    json result = json::object();
    if (is_named_list) {
        for (const json& item : value) {
            result[item["name"].get<std::string>()] = key_by_name(item);
        }
        return result;
    }
    if (!value.is_object()) {
        return value;
    }
    for (const auto& [field, item] : value.items()) {
        result[field] = key_by_name(item);
    }
    return result;
}

void compare(const std::string& path, const json& before, const json& after, std::vector<std::string>& lines)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        lines.push_back("~ " + path + ": " + before.dump() + " -> " + after.dump());
        return;
    }
    std::set<std::string> fields;
    for (const auto& [field, item] : before.items()) {
        fields.insert(field);
    }
    for (const auto& [field, item] : after.items()) {
        fields.insert(field);
    }
    for (const std::string& field : fields) {
        std::string inner = path;
        inner.append("/").append(field);
        if (!before.contains(field)) {
            lines.push_back("+ " + inner + ": " + after[field].dump());
        } else if (!after.contains(field)) {
            lines.push_back("- " + inner + ": " + before[field].dump());
        } else {
            compare(inner, before[field], after[field], lines);
        }
    }
}

} // namespace

std::vector<std::string> describe_difference(const bundle& before, const bundle& after)
{
    std::vector<std::string> lines;
    compare("", key_by_name(to_json(before)), key_by_name(to_json(after)), lines);
    return lines;
}

} // namespace sailtiller
