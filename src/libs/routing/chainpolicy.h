// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <routing/routingtable.h>

#include <set>

namespace sailtiller {

/// Stages that together run every layer of a model exactly once, in order.
using chain = std::vector<stage_option>;

/// What a policy may look at besides the routes.
struct chain_request
{
    time_point now;
    std::set<upstream_id> avoid; ///< upstreams that failed an earlier attempt of this request
};

/// Chooses a chain; empty if every chain has a stage that is to be avoided or without holders.
/// An upstream whose breaker is open is used only if the model has no chain without it, so that a run of
/// failures never shuts all of them at once. One that wants no work is never used.
using chain_policy = std::function<std::optional<chain>(const model_routes&, const chain_request&)>;

/// Makes the policy of a kind; `random` draws between equals.
chain_policy make_chain_policy(policy_kind kind, random_function random);

/// True if the stages cover layers 0 to `layers` - 1 exactly once, in order.
[[nodiscard]] bool is_whole_chain(const chain& stages, std::uint32_t layers);

/// Chooses an upstream of a plain service: the less busy of two available ones drawn at random.
std::optional<service_option> choose_service_option(
    const std::vector<service_option>& options, const chain_request& request, const random_function& random);

} // namespace sailtiller
