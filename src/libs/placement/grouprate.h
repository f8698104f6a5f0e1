// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/layerplan.h>

#include <vector>

namespace sailtiller {

using engine_list = std::vector<const placeable_engine*>;

/// Number of whole layers that an engine can hold and still have capacity for `tokens` tokens in each of
/// them. At most the layers of the model; 0 for a card that the profile does not list.
unsigned count_placeable_layers(const engine_profile& profile, const placeable_engine& engine, double tokens);

/// Largest token capacity that the engines can keep while they hold `copies` copies of the model together.
/// Empty if they cannot hold them even with no capacity left.
std::optional<double> find_max_token_capacity(
    const engine_profile& profile, const engine_list& engines, double copies);

/// Largest token capacity that the engines can keep with the wanted copies, or with fewer copies if the cards
/// cannot hold them with the minimum capacity. Cards that hold the model only with less capacity get the
/// capacity that one copy leaves.
double choose_token_capacity(
    const engine_profile& profile, const engine_list& engines, const placement_aim& aim);

/// Residence time of a usual request in milliseconds, from its first engine to its last token, if each engine
/// holds as many layers as it can with capacity for `tokens` tokens.
double predict_residence_ms(const engine_profile& profile, const engine_list& engines, double tokens);

/// Requests of usual size per second that the engines serve with one copy of the model. The rate is limited
/// by token capacity, request slots, prompt processing and, for more than one hall, by the pipe between
/// halls. 0 if the engines cannot hold the model.
double predict_group_rate(const engine_profile& profile, const engine_list& engines, unsigned hall_count);

/// Prompts of usual size per second that a pipe between two halls can carry; infinite if it has no bound.
double predict_pipe_rate(const engine_profile& profile);

} // namespace sailtiller
