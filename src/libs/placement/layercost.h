// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/layerplan.h>

namespace sailtiller {

/// Tokens of a usual request, prompt and answer together.
double usual_request_tokens(const engine_profile& profile);

/// Milliseconds that the card takes to process a usual prompt through the whole model.
double predict_prompt_ms(const engine_profile& profile, const card_kind& card);

/// Number of whole layers that fit on the card with capacity for `tokens` tokens in each of them.
double count_fitting_layers(const engine_profile& profile, const card_kind& card, double tokens);

/// Cost in milliseconds of one layer on this card for a usual request: prompt processing, answer steps, and
/// the share of the hop to the next engine, which is larger on cards that hold few layers.
double predict_layer_cost(const engine_profile& profile, const card_kind& card, const placement_aim& aim);

} // namespace sailtiller
