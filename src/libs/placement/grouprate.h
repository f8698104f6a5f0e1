// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/layerplan.h>

#include <vector>

namespace sailtiller {

using engine_list = std::vector<const placeable_engine*>;

/// Whole layers that an engine holds beside room for that many tokens through each of them; never more than
/// the model has, and none on a card that the profile doesn't know.
unsigned count_placeable_layers(const engine_profile& profile, const placeable_engine& engine, double tokens);

/// The most tokens beside which these engines together hold `copies` copies of the model; nothing if they
/// hold less even without any token.
std::optional<double> find_max_token_capacity(
    const engine_profile& profile, const engine_list& engines, double copies);

/// Milliseconds from a usual request's first engine to its last token, if each engine holds as much as it can
/// beside room for that many tokens.
double predict_residence_ms(const engine_profile& profile, const engine_list& engines, double tokens);

/// Requests a second that these engines serve together with one copy of the model: the least of what their
/// room, their slots, their reading of prompts and, if paths go from hall to hall, the pipe between two halls
/// carry. Zero if they can't hold the model. In requests of usual size.
double predict_group_rate(const engine_profile& profile, const engine_list& engines, unsigned hall_count);

} // namespace sailtiller
