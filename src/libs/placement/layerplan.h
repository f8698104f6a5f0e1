// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/sitebundle.h>
#include <directory/upstreamdirectory.h>

namespace sailtiller {

/// An engine that may hold layers, as the planner sees it.
struct placeable_engine
{
    upstream_id id;
    data_hall_id data_hall;
    std::string card;
    layer_span held; ///< what it holds, or is loading
    /// It was there a moment ago and may come back, mostly empty: it gets nothing, but the others' shares are
    /// chosen as if it were there. Without that, the first engine of a hall to come back took as little as if
    /// the others had gone for good, and a layer was left that no engine had room for.
    bool is_absent = false;
    bool is_loading = false; ///< it has an order that isn't done
    double used_share = 0; ///< of its room for tokens, by the requests of all hosts
};

/// One engine shall hold these layers from now on.
struct placement_step
{
    upstream_id id;
    layer_span span;
    bool closes_coverage_gap = false; ///< some of the layers have no other holder

    auto operator<=>(const placement_step&) const = default;
};

/// How much the planner aims for.
struct placement_aim
{
    /// Copies of every layer within a group of halls. More copies survive more losses but leave less room for
    /// tokens; 1.15 to 1.3 was best in trials.
    double copies = 1.3;
    /// Engines that run one request in a hall of many, at the most in the mean: each part adds a hop to every
    /// token, and an engine takes paths of 32 parts at the most.
    double max_stages = 14;
    /// The least room for tokens that an engine is left with, in usual requests (prompt and answer).
    double min_requests = 16;
    /// The same for a hall that holds the model only beside less room and yet serves more by itself than
    /// through the pipe to another one: the largest requests, three usual ones, must fit still.
    double min_requests_in_small_hall = 3;
    /// The same where a layer has no holder: room goes before a path that isn't there.
    double min_requests_at_coverage_gap = 24;
    /// Layouts without a hole are balanced; see `balance_layout`.
    bool balances = true;
    /// ... once some engine's room is used to this share, from which on new requests are kept away from it.
    double high_usage_share = 0.85;
};

/// How long the planner's host has watched the engines; what moves engines that serve needs more of it.
enum class observation_phase {
    begun, ///< the duty is new here: engines may be missing for a moment, or have orders of another host's
    watched, ///< what is missing is known: a hole that no other step closes may move engines
    stable ///< and nothing was ordered, lost or awaited for a while: a crowded layout may be balanced
};

/// What to load next: empty engines get the layers that are covered least in their group. For a layer without
/// any holder, the holders of the layers beside it take it as well, since an engine goes on with what it
/// keeps while it loads a little more; what they can't take goes to an engine whose layers all have another
/// holder. A group is a hall whose cards can hold every layer, or as few halls as can together; see
/// `split_into_hall_groups`.
std::vector<placement_step> plan_layers(const engine_profile& profile,
    const std::vector<placeable_engine>& engines, const placement_aim& aim,
    observation_phase phase = observation_phase::stable);

/// Number of engines that hold each layer.
std::vector<unsigned> count_holders(
    const engine_profile& profile, const std::vector<placeable_engine>& engines);

} // namespace sailtiller
