// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/activationrecord.h>
#include <routing/accountindex.h>
#include <routing/chainpolicy.h>

namespace sailtiller {

/// Indexes and policies built from one bundle for serving on this host. Created when the bundle takes force;
/// a request keeps the state under which it started.
class serving_state
{
public:
    serving_state(std::shared_ptr<const bundle> content, generation_number generation, const host_id& self,
        load_table& loads, const random_function& random);

    [[nodiscard]] const bundle& content() const { return *this->source; }
    [[nodiscard]] generation_number generation() const { return this->number; }
    [[nodiscard]] const account_index& accounts() const { return this->keys; }
    [[nodiscard]] const routing_table& routes() const { return this->table; }
    /// Returns null if there is no such model.
    [[nodiscard]] const model* find_model(const model_id& name) const;
    /// Returns the service whose prefix matches the path; null if there is none.
    [[nodiscard]] const plain_service* find_service(std::string_view path) const;
    /// Returns the policy that applies to an account.
    [[nodiscard]] const chain_policy& policy_for(const client_account& account) const;

private:
    std::shared_ptr<const bundle> source;
    generation_number number;
    account_index keys;
    routing_table table;
    std::map<policy_id, chain_policy> policies;
};

} // namespace sailtiller
