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

/// Streams of usual size that the cache of the engine holds beside the weights of this many layers.
double count_cached_streams(const engine_profile& profile, const placeable_engine& engine, unsigned layers);

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

/// Lays out one copy of the layers from `covered` on over the engines, in the order of the middles of their
/// spans, with each span as close to the held one as the coverage allows; most spans move by a few layers.
/// Returns the spans that change; nothing if the engines cannot hold these layers.
std::optional<std::vector<placed_span>> lay_out_nearby(
    const engine_profile& profile, const engine_list& engines, double tokens, unsigned covered);

} // namespace sailtiller
