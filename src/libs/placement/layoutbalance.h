// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/grouprate.h>

#include <vector>

namespace sailtiller {

/// Requests of usual size per second through each layer of a group, with the layers that its engines hold
/// now. An engine contributes to each of its layers the lower of the rates that its token capacity and its
/// prompt processing allow, so an engine with few layers contributes more to each.
class layout_rates
{
public:
    /// `residence_ms`: residence time of a usual request. `head_slots`: requests at once that bound what a
    /// holder of layer 0 contributes to that layer; 0 is no bound.
    layout_rates(const engine_profile& profile, const engine_list& engines, double residence_ms,
        unsigned head_slots = 0);

    /// Power mean of the rates of the layers, dominated by the lowest ones.
    [[nodiscard]] double overall() const;
    /// Overall rate if the engine held `to` instead of `from`.
    [[nodiscard]] double overall_after(
        const placeable_engine& engine, const layer_span& from, const layer_span& to) const;
    /// Replaces `from` by `to` as the span of the engine.
    void move(const placeable_engine& engine, const layer_span& from, const layer_span& to);
    /// Lowest rate of a layer, in requests per second.
    [[nodiscard]] double weakest() const;
    /// Mean rate of the layers, in requests per second.
    [[nodiscard]] double mean() const;

private:
    /// Contribution in requests per second to each layer of an engine that holds `layers` layers.
    [[nodiscard]] double rate_of(const placeable_engine& engine, unsigned layers) const;
    /// Contribution to this layer of a holder with this rate.
    [[nodiscard]] double bound_rate(unsigned layer, double rate) const;
    /// Adds the rate of a holder, or takes it away.
    void add_holder(const layer_span& span, double rate, double sign);
    void sum_weights();

    const engine_profile& profile;
    double residence_ms;
    unsigned head_slots;
    std::vector<double> rates; ///< requests per second of each layer
    double parts = 0; ///< sum of the weights of the layers in the power mean
};

/// Limits of one balancing run.
struct balance_limits
{
    /// Minimum relative increase of the overall rate per step: each step loads layers, and streams leave the
    /// engine meanwhile.
    double min_gain = 0.05;
    /// Minimum increase while the lowest rate is below `uneven_share` of the mean rate: an uneven layout
    /// improves in small steps.
    double min_gain_when_uneven = 0.02;
    double uneven_share = 0.5;
    /// Steps per run. Together with those of other groups they stay within the loads that do not slow each
    /// other.
    unsigned max_steps = 4;
    /// Minimum share of the layers that fit on an engine. Fewer layers carry more requests each, but lead to
    /// paths of more stages.
    double min_fill_share = 0.75;
    /// Request slots of a head if the group has heads with layers of their own; 0 otherwise. Such heads don't
    /// move, and no engine becomes one: `convert_to_heads` does that.
    unsigned head_slots = 0;
};

/// Returns steps that raise the rate of a layout without coverage gaps, best first. An engine with too many
/// layers releases those that others hold too, and engines whose layers others hold move to the layers with
/// the lowest rates. No step removes the last holder of a layer, nor one of the last two holders of layer 0.
/// Engines hold as many layers as they can with a capacity of `capacity` tokens. Without balancing, after 11
/// of 38 engines had restarted, every layer was held again within 8 s, but engines that had taken seven
/// layers for it, where five leave capacity for usual work, kept them: 0.60 to 0.68 of the requests met their
/// targets until the end of the day.
std::vector<placement_step> balance_layout(
    const engine_profile& profile, const engine_list& engines, double capacity, const balance_limits& limits);

} // namespace sailtiller
