// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>

#include <set>

namespace sailtiller {

namespace {

/// Follows a parse and notices a field that stands twice in one object.
class doubled_field_finder
{
public:
    explicit doubled_field_finder(std::vector<json_fault>& faults)
        : faults(faults)
    {
    }

    bool follow(json::parse_event_t event, const json& parsed)
    {
        if (event == json::parse_event_t::object_start) {
            this->open_objects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            this->open_objects.pop_back();
        } else if (event == json::parse_event_t::key) {
            this->note_field(parsed.get<std::string>());
        }
        return true;
    }

private:
    void note_field(const std::string& name)
    {
        if (!this->open_objects.back().insert(name).second) {
            this->faults.push_back({"/" + name, "", "field stands twice in one object; keep one"});
        }
    }

    std::vector<json_fault>& faults;
    std::vector<std::set<std::string>> open_objects;
};

} // namespace

json parse_json(std::string_view text, std::vector<json_fault>& faults)
{
    doubled_field_finder finder(faults);
    const auto callback = [&finder](int, json::parse_event_t event, json& parsed) {
        return finder.follow(event, parsed);
    };
    try {
        return json::parse(text, callback);
    } catch (const json::exception& malformed) {
        faults.push_back({"", "", std::string("not valid JSON: ") + malformed.what()});
        return nullptr;
    }
}

} // namespace sailtiller
