// SPDX-License-Identifier: Apache-2.0
#include <entry/servingstate.h>

namespace sailtiller {

serving_state::serving_state(std::shared_ptr<const bundle> content, generation_number generation,
    const host_id& self, load_table& loads, const random_function& random)
    : source(std::move(content))
    , number(generation)
    , keys(*this->source)
    , table(*this->source, self, loads)
{
    for (const policy& item : this->source->policies) {
        this->policies.emplace(item.name, make_chain_policy(item.kind, random));
    }
}

const model* serving_state::find_model(const model_id& name) const
{
    for (const model& item : this->source->models) {
        if (item.name == name) {
            return &item;
        }
    }
    return nullptr;
}

const plain_service* serving_state::find_service(std::string_view path) const
{
    for (const plain_service& service : this->source->services) {
        if (path.starts_with(service.path_prefix)) {
            return &service;
        }
    }
    return nullptr;
}

const chain_policy& serving_state::policy_for(const client_account& account) const
{
    return this->policies.at(account.chosen_policy.value_or(this->source->default_policy));
}

} // namespace sailtiller
