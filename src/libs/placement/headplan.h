// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/grouprate.h>

#include <algorithm>
#include <vector>

namespace sailtiller {

/// Span of layers that an engine holds, or shall hold.
struct placed_span
{
    const placeable_engine* engine = nullptr;
    layer_span span;
};

/// Number of layers that an engine shall hold.
struct sized_engine
{
    const placeable_engine* engine = nullptr;
    unsigned layers = 0;
};

/// Heads that may be lost together and leave half of the room of their group.
constexpr std::size_t borne_head_losses = 3;

/// What a layout of one group of halls carries at once, in streams of usual size. The holders of layer 0 are
/// its heads: each carries as many streams as its cache holds, and no more than its request slots.
struct layout_room
{
    double head_streams = 0; ///< of all heads together
    double streams_behind = 0; ///< through the layer behind layer 0 that carries fewest
    double heads_left = 0; ///< `head_streams` without the largest heads, `borne_head_losses` of them
    double behind_left = 0; ///< `streams_behind` if each layer loses its largest holder
    double residence_ms = 0; ///< of a usual request from its first engine to its last token, with full room

    /// Streams at once.
    [[nodiscard]] double streams() const { return std::min(this->head_streams, this->streams_behind); }
    /// True if the heads carry what the layers behind them carry, and half of the room after their losses.
    [[nodiscard]] bool has_enough_heads() const;
    /// Streams per second, where those that are left after losses count twice, up to half of the room.
    /// Layouts are compared by it: many stages, a single chain and few heads lower it.
    [[nodiscard]] double worth() const;
};

/// Heads of a group of halls with layers of their own.
struct head_plan
{
    unsigned span = 0; ///< layers [0, span) of each head; 0: the plain layout is kept
    engine_list heads; ///< in the order of choice
    double token_capacity = 0; ///< of each engine behind the heads, in tokens
    std::vector<placed_span> layout; ///< fresh, of all engines; empty if the plan doesn't apply
    layout_room room; ///< of a fresh layout with these heads; of the plain layout without them

    [[nodiscard]] bool applies() const { return this->span > 0; }
};

/// Room of a layout in which each engine holds its span.
layout_room measure_room(const engine_profile& profile, const std::vector<placed_span>& layout);

/// Streams of usual size that the engine carries as head with the first `layers` layers.
double count_head_streams(const engine_profile& profile, const placeable_engine& engine, unsigned layers);

/// As many layers per engine as fit with capacity for `tokens` tokens.
std::vector<sized_engine> size_engines(
    const engine_profile& profile, const engine_list& engines, double tokens);

/// Lays out one copy of the layers from `first` on after the other, in the order of the engines.
std::vector<placed_span> lay_out_copies(
    const engine_profile& profile, const std::vector<sized_engine>& engines, unsigned first);

/// Plans the heads of a group of halls, whose engines include the absent ones. It doesn't apply if the
/// profile has no request slots, if the heads of the plain layout with capacity for `plain_tokens` tokens
/// have slots for all that their cache holds, if these heads carry the layers behind them and bear the
/// losses, or if the cards allow nothing better. The result depends on the ids, halls and cards alone, so
/// every host gets the same.
head_plan plan_heads(
    const engine_profile& profile, const engine_list& engines, const placement_aim& aim, double plain_tokens);

/// Spans for the empty engines that become heads, as many as the plan has more heads than the layout. An
/// absent engine of a card that suits better keeps its place. A span ends where most engines go on.
std::vector<placed_span> choose_missing_heads(
    const engine_profile& profile, const head_plan& plan, const engine_list& engines);

/// Steps that turn engines behind the heads into heads, as many as the plan has more heads than the layout
/// and only while each adds to the worth of the layout. No layer loses its last holder.
std::vector<placement_step> convert_to_heads(
    const engine_profile& profile, const head_plan& plan, const engine_list& engines);

} // namespace sailtiller
