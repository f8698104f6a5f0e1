// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/grouprate.h>

#include <vector>

namespace sailtiller {

/// Requests a second that each layer of a group passes, as its engines hold the layers now: each engine gives
/// each of its layers the least of what its room and its reading of prompts carry, so an engine with few
/// layers carries more on each. In requests of usual size.
class layout_rates
{
public:
    /// `residence_ms`: how long a usual request keeps its room.
    layout_rates(const engine_profile& profile, const engine_list& engines, double residence_ms);

    /// Requests a second through the layers together: the weakest ones count by far the most.
    [[nodiscard]] double overall() const;
    /// The same if the engine held `to` in place of `from`.
    [[nodiscard]] double overall_after(
        const placeable_engine& engine, const layer_span& from, const layer_span& to) const;
    /// The engine holds `to` in place of `from` from now on.
    void move(const placeable_engine& engine, const layer_span& from, const layer_span& to);
    /// Requests a second that the weakest layer passes.
    [[nodiscard]] double weakest() const;
    /// Requests a second that a layer passes in the mean.
    [[nodiscard]] double mean() const;

private:
    /// Requests a second through each layer of an engine that holds so many.
    [[nodiscard]] double rate_of(const placeable_engine& engine, unsigned layers) const;
    void add_rate(const layer_span& span, double rate);
    void sum_weights();

    const engine_profile& profile;
    double residence_ms;
    std::vector<double> rates; ///< of each layer
    double parts = 0; ///< sum of the layers' parts in the mean
};

/// Bounds of a balancing.
struct balance_limits
{
    /// A step must raise the layout's overall rate by this share: each one loads layers, and streams leave
    /// the engine meanwhile.
    double min_gain = 0.05;
    /// ... or by this one while the weakest layer passes less than so much of what the layers pass in the
    /// mean: the way from a layout in need to a good one has small steps.
    double min_gain_when_uneven = 0.02;
    double uneven_share = 0.5;
    /// Steps at once; with those of other groups they run within the loads that take no longer together.
    unsigned max_steps = 4;
    /// An engine holds at least this share of the layers that it has room for: fewer carry more requests
    /// each, and make paths of more parts.
    double min_fill_share = 0.75;
};

/// Steps that raise what a whole layout carries, best first: an engine that holds too many layers gives up
/// those that others hold too, and engines whose layers others hold go where a layer passes the least. None
/// gives up the only holder of a layer, nor one of the two first engines of paths. `room` is the room for
/// tokens beside which engines hold as much as they can.
/// After 11 of 38 engines had started anew, every layer was held again within 8 s, but engines that had taken
/// seven layers in need, where five leave room for usual work, kept them: 0.60 to 0.68 of the requests were
/// served in aim to the day's end.
std::vector<placement_step> balance_layout(
    const engine_profile& profile, const engine_list& engines, double room, const balance_limits& limits);

} // namespace sailtiller
