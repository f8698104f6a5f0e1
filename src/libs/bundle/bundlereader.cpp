// SPDX-License-Identifier: Apache-2.0
#include <bundle/bundlechecks.h>
#include <bundle/bundlereader.h>
#include <bundle/objectreader.h>

namespace sailtiller {

namespace {

constexpr std::int64_t most_layers = 10'000;
constexpr std::int64_t most_streams = 1'000'000;
constexpr std::int64_t most_tokens = 10'000'000;
constexpr std::int64_t most_attempts = 10;
constexpr double most_requests_per_second = 1e6;

policy read_policy(object_reader& reader)
{
    policy item;
    item.name = policy_id(reader.read_text("name"));
    const std::string kind = reader.read_text("kind");
    const std::optional<policy_kind> known = policy_kind_from_text(kind);
    if (known) {
        item.kind = *known;
    } else {
        reader.add_fault("kind", "must be round_robin, least_in_flight or least_time");
    }
    return item;
}

client_account read_account(object_reader& reader)
{
    client_account account;
    account.name = client_account_id(reader.read_text("name"));
    account.service_class = class_id(reader.read_text("class"));
    account.priority = static_cast<std::int32_t>(reader.read_integer("priority", -100, 100));
    account.key_digests = reader.read_texts("key_digests");
    reader.read_object("limits", [&account](object_reader& limits) {
        account.limits.streams = static_cast<std::uint32_t>(limits.read_integer("streams", 0, most_streams));
        account.limits.requests_per_second =
            limits.read_number("requests_per_second", 0.0, most_requests_per_second);
    });
    if (const std::optional<std::string> chosen = reader.read_optional_text("policy")) {
        account.chosen_policy = policy_id(*chosen);
    }
    return account;
}

stage_holder read_holder(object_reader& reader)
{
    stage_holder holder;
    holder.holder = upstream_id(reader.read_text("upstream"));
    holder.layers.first =
        layer_index(static_cast<std::uint32_t>(reader.read_integer("first_layer", 0, most_layers)));
    holder.layers.last =
        layer_index(static_cast<std::uint32_t>(reader.read_integer("last_layer", 0, most_layers)));
    holder.step_time = reader.read_microseconds("step_us");
    return holder;
}

model read_model(object_reader& reader)
{
    model item;
    item.name = model_id(reader.read_text("name"));
    item.layers = static_cast<std::uint32_t>(reader.read_integer("layers", 1, most_layers));
    item.longest_answer = static_cast<std::uint32_t>(reader.read_integer("longest_answer", 1, most_tokens));
    reader.read_objects("holders", field_presence::required,
        [&item](object_reader& holder) { item.holders.push_back(read_holder(holder)); });
    return item;
}

upstream read_upstream(object_reader& reader)
{
    upstream item;
    item.name = upstream_id(reader.read_text("name"));
    item.address = endpoint(reader.read_text("address"));
    item.data_hall = data_hall_id(reader.read_text("data_hall"));
    item.streams = static_cast<std::uint32_t>(reader.read_integer("streams", 1, most_streams));
    item.link_delay = reader.read_microseconds("link_delay_us");
    return item;
}

plain_service read_service(object_reader& reader)
{
    plain_service service;
    service.name = service_id(reader.read_text("name"));
    service.path_prefix = reader.read_text("path_prefix");
    for (const std::string& name : reader.read_texts("upstreams")) {
        service.upstreams.emplace_back(name);
    }
    service.repeatable_methods = reader.read_texts("repeatable_methods");
    return service;
}

void read_limits(object_reader& reader, bundle& content)
{
    reader.read_object("time_limits", [&content](object_reader& times) {
        content.times.first_answer = times.read_milliseconds("first_answer_ms");
        content.times.step = times.read_milliseconds("step_ms");
        content.times.request = times.read_milliseconds("request_ms");
    });
    reader.read_object("retries", [&content](object_reader& retries) {
        content.retries.attempts =
            static_cast<std::uint32_t>(retries.read_integer("attempts", 1, most_attempts));
        content.retries.budget_ratio = retries.read_number("budget_ratio", 0.0, 1.0);
    });
}

/// What stands once in a bundle: everything but its lists.
void read_head(object_reader& reader, bundle& content)
{
    content.format = static_cast<std::uint32_t>(reader.read_integer("format", 1, newest_bundle_format));
    content.name = reader.read_text("name");
    content.required_sign_offs = static_cast<std::uint32_t>(reader.read_integer("required_sign_offs", 1, 2));
    read_limits(reader, content);
    content.default_policy = policy_id(reader.read_text("default_policy"));
    reader.read_objects("policies", field_presence::required,
        [&](object_reader& item) { content.policies.push_back(read_policy(item)); });
}

void read_lists(object_reader& reader, field_presence presence, bundle& content)
{
    reader.read_objects(
        "accounts", presence, [&](object_reader& item) { content.accounts.push_back(read_account(item)); });
    reader.read_objects(
        "models", presence, [&](object_reader& item) { content.models.push_back(read_model(item)); });
    reader.read_objects("upstreams", presence,
        [&](object_reader& item) { content.upstreams.push_back(read_upstream(item)); });
    reader.read_objects(
        "services", presence, [&](object_reader& item) { content.services.push_back(read_service(item)); });
}

} // namespace

bundle_fragment read_bundle_fragment(const json& document, std::vector<json_fault>& faults)
{
    bundle_fragment fragment;
    fragment.has_head = document.is_object() && document.contains("format");
    object_reader reader(document, "", faults);
    if (fragment.has_head) {
        read_head(reader, fragment.content);
    }
    read_lists(reader, field_presence::optional, fragment.content);
    return fragment;
}

bundle_reading read_bundle(const json& document)
{
    bundle_reading reading;
    {
        object_reader reader(document, "", reading.faults);
        read_head(reader, reading.content);
        read_lists(reader, field_presence::required, reading.content);
    }
    check_bundle(reading.content, reading.faults);
    return reading;
}

bundle_reading read_bundle_text(std::string_view text)
{
    std::vector<json_fault> faults;
    const json document = parse_json(text, faults);
    if (document.is_null()) {
        return {{}, std::move(faults)};
    }
    bundle_reading reading = read_bundle(document);
    reading.faults.insert(reading.faults.begin(), faults.begin(), faults.end());
    return reading;
}

std::string describe_faults(const std::vector<json_fault>& faults)
{
    std::string text;
    for (const json_fault& fault : faults) {
        text += (fault.path.empty() ? "/" : fault.path) + ": ";
        text += fault.value.empty() ? fault.reason : fault.value + " " + fault.reason;
        text += "\n";
    }
    return text;
}

} // namespace sailtiller
