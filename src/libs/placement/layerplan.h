// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/sitebundle.h>
#include <directory/upstreamdirectory.h>

namespace sailtiller {

/// An engine that may hold layers, as input of the planner.
struct placeable_engine
{
    upstream_id id;
    data_hall_id data_hall;
    std::string card;
    layer_span held; ///< layers that it holds or loads
    /// The engine vanished recently and may come back, mostly empty. It gets no layers, but the shares of the
    /// others are chosen as if it were present. Otherwise the first engine of a hall to come back takes a
    /// share as if the others were gone for good, and a layer is left for which no engine has capacity.
    bool is_absent = false;
    bool is_loading = false; ///< it has an unfinished order
    double used_share = 0; ///< share of its token capacity in use by the requests of all hosts
    double used_slot_share = 0; ///< share of its request slots in use, if it may be the first of a path
};

/// Assigns a span of layers to an engine.
struct placement_step
{
    upstream_id id;
    layer_span span;
    bool closes_coverage_gap = false; ///< some of the layers have no other holder

    auto operator<=>(const placement_step&) const = default;
};

/// Targets of the planner.
struct placement_aim
{
    /// Copies of every layer within a group of halls. More copies tolerate more losses but leave less token
    /// capacity; 1.15 to 1.3 was best in trials.
    double copies = 1.3;
    /// Upper bound of the mean number of stages of a path in a hall with many engines. Each stage adds a hop
    /// to every token, and an engine accepts paths of at most 32 stages.
    double max_stages = 14;
    /// Minimum token capacity of an engine, in usual requests (prompt and answer).
    double min_requests = 16;
    /// Minimum for a hall that holds the model only with less capacity but serves more alone than through the
    /// pipe to another hall. The largest requests, three usual ones, must still fit.
    double min_requests_in_small_hall = 3;
    /// Minimum for an engine that extends into a coverage gap: capacity takes precedence over a path that
    /// does not exist yet.
    double min_requests_at_coverage_gap = 24;
    /// Layouts without a coverage gap are balanced; see `balance_layout`.
    bool balances = true;
    /// Used share of the capacity of an engine from which on the layout is balanced, and of the request slots
    /// of a head from which on missing heads are taken from the engines behind. New requests avoid engines
    /// with this share.
    double high_usage_share = 0.85;
};

/// How long this host has observed the engines. Moving engines that serve requires a later phase.
enum class observation_phase {
    begun, ///< new to the duty: engines may be missing for a moment, or have orders of another host
    watched, ///< missing engines are known: engines may move into a gap that no other step closes
    stable ///< also no recent order, loss or expected return: a crowded layout may be balanced
};

/// Returns the next layers to load. Empty engines get the layers with the least coverage in their group. A
/// coverage gap is closed by the holders of adjacent layers, which keep serving while they load a few more;
/// what they cannot take goes to an engine whose layers all have another holder. For the groups see
/// `split_into_hall_groups`, for groups whose request slots bind before their memory `plan_heads`.
std::vector<placement_step> plan_layers(const engine_profile& profile,
    const std::vector<placeable_engine>& engines, const placement_aim& aim,
    observation_phase phase = observation_phase::stable);

/// Number of engines that hold each layer.
std::vector<unsigned> count_holders(
    const engine_profile& profile, const std::vector<placeable_engine>& engines);

} // namespace sailtiller
