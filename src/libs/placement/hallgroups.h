// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/grouprate.h>

namespace sailtiller {

/// Splits the engines into groups of halls that each hold the model by themselves, so that a path need not
/// leave its group. A hall that holds the model beside the least room of the aim is a group of its own. Of
/// tighter halls, those that hold it beside less room stay apart or are joined, whichever serves more
/// requests a second: apart there is less room, joined each prompt goes through the pipe between halls. A
/// hall that can't hold the model is joined with as few others as do together; what is left over holds what
/// it can. The engines of a group stand hall by hall.
/// Five halls of six engines each held the model beside ten requests; joined, each path crossed four times
/// with the whole prompt, and 0.058 of the requests were served; apart, 0.998 (one play of a calm day each).
std::vector<engine_list> split_into_hall_groups(
    const engine_profile& profile, const std::vector<placeable_engine>& engines, const placement_aim& aim);

} // namespace sailtiller
