// SPDX-License-Identifier: Apache-2.0
#include <bundle/objectreader.h>

#include <cmath>

namespace sailtiller {

namespace {

constexpr std::int64_t milliseconds_a_day = 86'400'000;
constexpr std::int64_t microseconds_a_day = milliseconds_a_day * 1000;

template <typename Number>
std::string describe_bounds(Number least, Number most)
{
    return "from " + std::to_string(least) + " to " + std::to_string(most);
}

} // namespace

object_reader::object_reader(const json& object, std::string path, std::vector<json_fault>& faults)
    : object(object)
    , object_path(std::move(path))
    , faults(faults)
{
    if (!object.is_object()) {
        this->faults.push_back({this->object_path, object.dump(), "must be an object"});
    }
}

object_reader::~object_reader()
{
    if (!this->object.is_object()) {
        return;
    }
    for (const auto& [field, value] : this->object.items()) {
        if (!this->known_fields.contains(field)) {
            this->add_fault(field, "unknown field; remove it or correct its name");
        }
    }
}

void object_reader::add_fault(const std::string& field, const std::string& reason)
{
    const bool is_present = this->object.is_object() && this->object.contains(field);
    this->faults.push_back(
        {this->object_path + "/" + field, is_present ? this->object.at(field).dump() : "", reason});
}

const json* object_reader::find(const std::string& field, bool is_required)
{
    this->known_fields.insert(field);
    if (!this->object.is_object()) {
        return nullptr;
    }
    const auto found = this->object.find(field);
    if (found != this->object.end()) {
        return &*found;
    }
    if (is_required) {
        this->add_fault(field, "is missing; add it");
    }
    return nullptr;
}

std::string object_reader::read_text(const std::string& field)
{
    const json* value = this->find(field, true);
    if (value == nullptr) {
        return "";
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        this->add_fault(field, "must be a text that is not empty");
        return "";
    }
    return value->get<std::string>();
}

std::optional<std::string> object_reader::read_optional_text(const std::string& field)
{
    if (this->find(field, false) == nullptr) {
        return std::nullopt;
    }
    return this->read_text(field);
}

std::int64_t object_reader::read_integer(const std::string& field, std::int64_t least, std::int64_t most)
{
    const json* value = this->find(field, true);
    if (value == nullptr) {
        return least;
    }
    const bool is_whole = value->is_number_integer();
    const bool is_huge = value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    if (!is_whole || is_huge || value->get<std::int64_t>() < least || value->get<std::int64_t>() > most) {
        this->add_fault(field, "must be a whole number " + describe_bounds(least, most));
        return least;
    }
    return value->get<std::int64_t>();
}

double object_reader::read_number(const std::string& field, double least, double most)
{
    const json* value = this->find(field, true);
    if (value == nullptr) {
        return least;
    }
    const double number = value->is_number() ? value->get<double>() : NAN;
    if (!std::isfinite(number) || number < least || number > most) {
        this->add_fault(field, "must be a number " + describe_bounds(least, most));
        return least;
    }
    return number;
}

std::vector<std::string> object_reader::read_texts(const std::string& field)
{
    const json* value = this->find(field, true);
    std::vector<std::string> texts;
    if (value == nullptr) {
        return texts;
    }
    if (!value->is_array()) {
        this->add_fault(field, "must be a list of texts");
        return texts;
    }
    for (const json& item : *value) {
        if (!item.is_string()) {
            this->add_fault(field, "must hold only texts");
            return {};
        }
        texts.push_back(item.get<std::string>());
    }
    return texts;
}

duration object_reader::read_milliseconds(const std::string& field)
{
    return std::chrono::milliseconds(this->read_integer(field, 1, milliseconds_a_day));
}

duration object_reader::read_microseconds(const std::string& field)
{
    return std::chrono::microseconds(this->read_integer(field, 0, microseconds_a_day));
}

void object_reader::read_objects(
    const std::string& field, field_presence presence, const std::function<void(object_reader&)>& read_item)
{
    const json* value = this->find(field, presence == field_presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        this->add_fault(field, "must be a list of objects");
        return;
    }
    std::size_t index = 0;
    for (const json& item : *value) {
        object_reader reader(
            item, this->object_path + "/" + field + "/" + std::to_string(index), this->faults);
        read_item(reader);
        ++index;
    }
}

void object_reader::read_object(
    const std::string& field, const std::function<void(object_reader&)>& read_item)
{
    const json* value = this->find(field, true);
    if (value == nullptr) {
        return;
    }
    object_reader reader(*value, this->object_path + "/" + field, this->faults);
    read_item(reader);
}

} // namespace sailtiller
