// SPDX-License-Identifier: Apache-2.0
#include <placement/layercost.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

namespace {

constexpr double milliseconds_per_second = 1000;

} // namespace

double predict_prompt_ms(const engine_profile& profile, const card_kind& card)
{
    if (profile.prompt_tokens_per_s <= 0) {
        return 0;
    }
    return profile.usual_prompt_tokens / profile.prompt_tokens_per_s * milliseconds_per_second
        * card.prompt_factor;
}

double usual_request_tokens(const engine_profile& profile)
{
    return profile.usual_prompt_tokens + profile.usual_answer_tokens;
}

double count_fitting_layers(const engine_profile& profile, const card_kind& card, double tokens)
{
    const double each_mb = profile.layer_mb + tokens * profile.token_layer_mb();
    return std::floor(card.memory_mb / each_mb);
}

double predict_layer_cost(const engine_profile& profile, const card_kind& card, const placement_aim& aim)
{
    const double tokens = aim.min_requests * usual_request_tokens(profile);
    const double layers = std::max(1.0, count_fitting_layers(profile, card, tokens));
    const double step_ms = profile.step_ms * card.step_factor;
    const double work_ms = predict_prompt_ms(profile, card) + profile.usual_answer_tokens * step_ms;
    const double hops_ms = profile.usual_answer_tokens * engine_hop_ms;
    return work_ms / profile.layers + hops_ms / layers;
}

} // namespace sailtiller
