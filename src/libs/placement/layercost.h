// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/layerplan.h>

namespace sailtiller {

/// Tokens of a usual request, prompt and answer.
double usual_request_tokens(const engine_profile& profile);

/// Milliseconds in which such a card reads a usual prompt through the whole model.
double predict_prompt_ms(const engine_profile& profile, const card_kind& card);

/// Whole layers that a card holds beside room for that many tokens through each of them.
double count_fitting_layers(const engine_profile& profile, const card_kind& card, double tokens);

/// Milliseconds that one layer on this card costs a usual request: reading its prompt, the steps of its
/// answer, and its share of the hop to the next engine, which is dearer on cards with few layers.
double predict_layer_cost(const engine_profile& profile, const card_kind& card, const placement_aim& aim);

} // namespace sailtiller
