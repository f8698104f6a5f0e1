// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/grouplayout.h>

namespace sailtiller {

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
