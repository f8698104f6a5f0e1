// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <routing/routingtable.h>

#include <set>

namespace sailtiller {

/// Sequence of stages that runs every layer of a model exactly once, in order.
using chain = std::vector<stage_option>;

/// Inputs of a policy besides the routes.
struct chain_request
{
    time_point now;
    std::set<upstream_id> avoid; ///< upstreams that failed an earlier attempt of this request
};

/// Returns the chosen chain, or nothing if some layers have no usable holder. Upstreams to be avoided and
/// those for which `upstream_load::is_excluded` holds are never used. An upstream with an open breaker is
/// used only if the model has no chain without it, so that a run of failures cannot make a model unavailable.
using chain_policy = std::function<std::optional<chain>(const model_routes&, const chain_request&)>;

/// Creates the policy of a kind. `random` drives the policies that choose at random or start at a random
/// turn.
chain_policy make_chain_policy(policy_kind kind, random_function random);

/// Returns whether the stages cover layers 0 to `layers` - 1 exactly once, in order.
[[nodiscard]] bool is_whole_chain(const chain& stages, std::uint32_t layers);

/// Chooses an upstream of a plain service by the power of two choices: of two available ones drawn at random,
/// returns the one with fewer requests in flight. Returns nothing if none can be used.
std::optional<service_option> choose_service_option(
    const std::vector<service_option>& options, const chain_request& request, const random_function& random);

} // namespace sailtiller
