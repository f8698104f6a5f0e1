// SPDX-License-Identifier: Apache-2.0
#include <base/numericaddress.h>
#include <bundle/bundlechecks.h>
#include <bundle/digest.h>

#include <set>

namespace sailtiller {

namespace {

/// Collects faults against one list of the bundle.
class list_checker
{
public:
    list_checker(std::string list, std::vector<json_fault>& faults)
        : list(std::move(list))
        , faults(faults)
    {
    }

    void add(std::size_t index, const std::string& field, const std::string& value, const std::string& reason)
    {
        const std::string path = "/" + this->list + "/" + std::to_string(index) + "/" + field;
        this->faults.push_back({path, json(value).dump(), reason});
    }

    template <typename Item>
    std::set<std::string> check_names(const std::vector<Item>& items)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < items.size(); ++index) {
            const std::string& name = items[index].name.value();
            if (!name.empty() && !names.insert(name).second) {
                this->add(index, "name", name, "stands twice in this list; names must differ");
            }
        }
        return names;
    }

private:
    std::string list;
    std::vector<json_fault>& faults;
};

void check_accounts(
    const bundle& content, const std::set<std::string>& policies, std::vector<json_fault>& faults)
{
    list_checker checker("accounts", faults);
    checker.check_names(content.accounts);
    std::set<std::string> digests;
    for (std::size_t index = 0; index < content.accounts.size(); ++index) {
        const client_account& account = content.accounts[index];
        for (const std::string& digest : account.key_digests) {
            if (!is_key_digest(digest)) {
                checker.add(index, "key_digests", digest, "must be sha256: and 64 lower-case hex digits");
            } else if (!digests.insert(digest).second) {
                checker.add(
                    index, "key_digests", digest, "is already a key; each key belongs to one account");
            }
        }
        if (account.chosen_policy && !policies.contains(account.chosen_policy->value())) {
            checker.add(index, "policy", account.chosen_policy->value(), "names no policy of this bundle");
        }
    }
}

/// True if some choice of holders covers every layer exactly once.
bool has_whole_chain(const model& item)
{
    std::vector<bool> is_reached(item.layers + 1, false);
    is_reached[0] = true;
    for (std::uint32_t layer = 0; layer < item.layers; ++layer) {
        for (const stage_holder& holder : item.holders) {
            const bool starts_here = is_reached[layer] && holder.layers.first.value() == layer;
            if (starts_here && holder.layers.last.value() < item.layers) {
                is_reached[holder.layers.last.value() + 1] = true;
            }
        }
    }
    return is_reached[item.layers];
}

void check_models(
    const bundle& content, const std::set<std::string>& upstreams, std::vector<json_fault>& faults)
{
    list_checker checker("models", faults);
    checker.check_names(content.models);
    for (std::size_t index = 0; index < content.models.size(); ++index) {
        const model& item = content.models[index];
        for (const stage_holder& holder : item.holders) {
            if (!upstreams.contains(holder.holder.value())) {
                checker.add(index, "holders", holder.holder.value(), "names no upstream of this bundle");
            }
            if (holder.layers.first > holder.layers.last || holder.layers.last.value() >= item.layers) {
                checker.add(index, "holders", holder.holder.value(),
                    "has layers outside 0 to " + std::to_string(item.layers - 1) + " or in the wrong order");
            }
        }
        if (!has_whole_chain(item)) {
            checker.add(index, "holders", item.name.value(),
                "no chain of holders covers every layer exactly once; close the gap or the overlap");
        }
    }
}

void check_services(
    const bundle& content, const std::set<std::string>& upstreams, std::vector<json_fault>& faults)
{
    list_checker checker("services", faults);
    checker.check_names(content.services);
    std::set<std::string> prefixes;
    for (std::size_t index = 0; index < content.services.size(); ++index) {
        const plain_service& service = content.services[index];
        const std::string& prefix = service.path_prefix;
        if (prefix.size() < 3 || prefix.front() != '/' || prefix.back() != '/'
            || prefix.starts_with("/v1/")) {
            checker.add(index, "path_prefix", prefix, "must be as /name/ and not within /v1/");
        } else if (!prefixes.insert(prefix).second) {
            checker.add(index, "path_prefix", prefix, "belongs to another service already");
        }
        if (service.upstreams.empty()) {
            checker.add(index, "upstreams", "", "must name at least one upstream");
        }
        for (const upstream_id& name : service.upstreams) {
            if (!upstreams.contains(name.value())) {
                checker.add(index, "upstreams", name.value(), "names no upstream of this bundle");
            }
        }
    }
}

void check_upstreams(const bundle& content, std::vector<json_fault>& faults)
{
    list_checker checker("upstreams", faults);
    for (std::size_t index = 0; index < content.upstreams.size(); ++index) {
        const endpoint& address = content.upstreams[index].address;
        if (!address.value().empty() && !names_a_machine(address)) {
            checker.add(index, "address", address.value(), "must be a number with a port, as 127.0.0.1:8080");
        }
    }
}

void check_times(const time_limits& times, std::vector<json_fault>& faults)
{
    if (times.first_answer > times.request) {
        faults.push_back({"/time_limits/first_answer_ms", "", "must not be longer than request_ms"});
    }
    if (times.step > times.request) {
        faults.push_back({"/time_limits/step_ms", "", "must not be longer than request_ms"});
    }
}

} // namespace

void check_bundle(const bundle& content, std::vector<json_fault>& faults)
{
    const std::set<std::string> policies = list_checker("policies", faults).check_names(content.policies);
    const std::set<std::string> upstreams = list_checker("upstreams", faults).check_names(content.upstreams);
    if (!content.default_policy.value().empty() && !policies.contains(content.default_policy.value())) {
        faults.push_back({"/default_policy", json(content.default_policy.value()).dump(),
            "names no policy of this bundle"});
    }
    check_times(content.times, faults);
    check_upstreams(content, faults);
    check_accounts(content, policies, faults);
    check_models(content, upstreams, faults);
    check_services(content, upstreams, faults);
}

} // namespace sailtiller
