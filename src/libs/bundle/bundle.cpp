// SPDX-License-Identifier: Apache-2.0
#include <bundle/bundle.h>

#include <array>

namespace sailtiller {

namespace {

struct policy_kind_name
{
    policy_kind kind;
    const char* text;
};

constexpr std::array<policy_kind_name, 3> policy_kind_names{{
    {policy_kind::round_robin, "round_robin"},
    {policy_kind::least_in_flight, "least_in_flight"},
    {policy_kind::least_time, "least_time"},
}};

std::int64_t to_milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

json to_json(const policy& item)
{
    return {{"name", item.name.value()}, {"kind", to_text(item.kind)}};
}

json to_json(const client_account& account)
{
    json text = {
        {"name", account.name.value()},
        {"class", account.service_class.value()},
        {"priority", account.priority},
        {"key_digests", account.key_digests},
        {"limits",
            {{"streams", account.limits.streams},
                {"requests_per_second", account.limits.requests_per_second}}},
    };
    if (account.chosen_policy) {
        text["policy"] = account.chosen_policy->value();
    }
    return text;
}

json to_json(const model& item)
{
    json holders = json::array();
    for (const stage_holder& holder : item.holders) {
        holders.push_back({
            {"upstream", holder.holder.value()},
            {"first_layer", holder.layers.first.value()},
            {"last_layer", holder.layers.last.value()},
            {"step_us", holder.step_time.count()},
        });
    }
    return {
        {"name", item.name.value()},
        {"layers", item.layers},
        {"longest_answer", item.longest_answer},
        {"holders", holders},
    };
}

json to_json(const upstream& item)
{
    return {
        {"name", item.name.value()},
        {"address", item.address.value()},
        {"data_hall", item.data_hall.value()},
        {"streams", item.streams},
        {"link_delay_us", item.link_delay.count()},
    };
}

json to_json(const plain_service& service)
{
    json upstreams = json::array();
    for (const upstream_id& name : service.upstreams) {
        upstreams.push_back(name.value());
    }
    return {
        {"name", service.name.value()},
        {"path_prefix", service.path_prefix},
        {"upstreams", upstreams},
        {"repeatable_methods", service.repeatable_methods},
    };
}

template <typename Item>
json list_to_json(const std::vector<Item>& items)
{
    json list = json::array();
    for (const Item& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

} // namespace

json to_json(const bundle& content)
{
    return {
        {"format", content.format},
        {"name", content.name},
        {"required_sign_offs", content.required_sign_offs},
        {"time_limits",
            {
                {"first_answer_ms", to_milliseconds(content.times.first_answer)},
                {"step_ms", to_milliseconds(content.times.step)},
                {"request_ms", to_milliseconds(content.times.request)},
            }},
        {"retries", {{"attempts", content.retries.attempts}, {"budget_ratio", content.retries.budget_ratio}}},
        {"default_policy", content.default_policy.value()},
        {"policies", list_to_json(content.policies)},
        {"accounts", list_to_json(content.accounts)},
        {"models", list_to_json(content.models)},
        {"upstreams", list_to_json(content.upstreams)},
        {"services", list_to_json(content.services)},
    };
}

std::string to_text(policy_kind kind)
{
    for (const policy_kind_name& entry : policy_kind_names) {
        if (entry.kind == kind) {
            return entry.text;
        }
    }
    return "";
}

std::optional<policy_kind> policy_kind_from_text(const std::string& text)
{
    for (const policy_kind_name& entry : policy_kind_names) {
        if (text == entry.text) {
            return entry.kind;
        }
    }
    return std::nullopt;
}

} // namespace sailtiller
