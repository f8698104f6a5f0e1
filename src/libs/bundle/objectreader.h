// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/json.h>

#include <functional>
#include <set>

namespace sailtiller {

/// Whether a field may be left out.
enum class field_presence { required, optional };

/// Reads the fields of one JSON object and collects a fault for each that is missing, unknown, of the wrong
/// type or out of bounds, so that one run names them all. Unknown fields are found when the reader is
/// destroyed.
class object_reader
{
public:
    object_reader(const json& object, std::string path, std::vector<json_fault>& faults);
    ~object_reader();
    object_reader(const object_reader&) = delete;
    object_reader& operator=(const object_reader&) = delete;

    /// A text that must be present and not empty.
    std::string read_text(const std::string& field);
    std::optional<std::string> read_optional_text(const std::string& field);
    /// A whole number within [least, most].
    std::int64_t read_integer(const std::string& field, std::int64_t least, std::int64_t most);
    /// A finite number within [least, most].
    double read_number(const std::string& field, double least, double most);
    std::vector<std::string> read_texts(const std::string& field);
    /// A time in whole milliseconds, at least 1 and at most a day.
    duration read_milliseconds(const std::string& field);
    /// A time in whole microseconds, at least 0 and at most a day.
    duration read_microseconds(const std::string& field);
    /// Calls `read_item` for each object of a list.
    void read_objects(const std::string& field, field_presence presence,
        const std::function<void(object_reader&)>& read_item);
    /// Calls `read_item` for an object.
    void read_object(const std::string& field, const std::function<void(object_reader&)>& read_item);

    void add_fault(const std::string& field, const std::string& reason);
    [[nodiscard]] const std::string& path() const { return this->object_path; }

private:
    const json* find(const std::string& field, bool is_required);

    const json& object;
    std::string object_path;
    std::vector<json_fault>& faults;
    std::set<std::string> known_fields;
};

} // namespace sailtiller
