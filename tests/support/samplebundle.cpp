// SPDX-License-Identifier: Apache-2.0
#include <bundle/digest.h>
#include <support/samplebundle.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

std::string numbered(const char* text, std::uint32_t number)
{
    return text + std::to_string(number);
}

client_account make_account(std::uint32_t index)
{
    client_account account;
    account.name = client_account_id(numbered("account-", index));
    account.service_class = class_id(index % 2 == 0 ? "batch" : "interactive");
    account.priority = static_cast<std::int32_t>(index % 3);
    account.key_digests = {key_digest_of(numbered("key-", index))};
    account.limits = {100, 50.0};
    return account;
}

void add_model(bundle& content, std::uint32_t index, const sample_sizes& sizes)
{
    model item;
    item.name = model_id(numbered("model-", index));
    item.layers = sizes.layers;
    item.longest_answer = 512;
    const std::uint32_t width = sizes.layers / sizes.stages;
    for (std::uint32_t stage = 0; stage < sizes.stages; ++stage) {
        const bool is_last = stage + 1 == sizes.stages;
        const std::uint32_t last = is_last ? sizes.layers - 1 : (stage + 1) * width - 1;
        for (std::uint32_t holder = 0; holder < sizes.holders_of_a_stage; ++holder) {
            upstream target;
            target.name = upstream_id(
                item.name.value() + "/stage-" + std::to_string(stage) + "/holder-" + std::to_string(holder));
            target.address =
                endpoint("127.0.0.1:" + std::to_string(10'000 + content.upstreams.size() % 50'000));
            target.data_hall = data_hall_id(numbered("hall-", holder % 6));
            target.streams = 16;
            target.link_delay = 250us;
            item.holders.push_back(
                {target.name, {layer_index(stage * width), layer_index(last)}, 5ms * (1 + holder % 3)});
            content.upstreams.push_back(target);
        }
    }
    content.models.push_back(item);
}

} // namespace

bundle make_sample_bundle(const sample_sizes& sizes, const std::string& name)
{
    bundle content;
    content.name = name;
    content.times = {500ms, 200ms, 60s};
    content.retries = {3, 0.2};
    content.default_policy = policy_id("fast");
    content.policies = {{policy_id("fast"), policy_kind::least_time},
        {policy_id("even"), policy_kind::round_robin}, {policy_id("quiet"), policy_kind::least_in_flight}};
    for (std::uint32_t index = 0; index < sizes.accounts; ++index) {
        content.accounts.push_back(make_account(index));
    }
    for (std::uint32_t index = 0; index < sizes.models; ++index) {
        add_model(content, index, sizes);
    }
    return content;
}

} // namespace sailtiller::tests
