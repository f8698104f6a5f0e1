// SPDX-License-Identifier: Apache-2.0
#include <placement/grouprate.h>
#include <placement/layercost.h>

#include <algorithm>
#include <limits>

namespace sailtiller {

namespace {

/// Bisection steps; they narrow the range far below one token.
constexpr int capacity_search_steps = 40;
/// Upper bound of the search, which has no end for profiles without cache memory.
constexpr double max_capacity_tokens = 1e9;
constexpr double milliseconds_per_second = 1000;

bool hold_copies(const engine_profile& profile, const engine_list& engines, double tokens, double copies)
{
    unsigned sum = 0;
    for (const placeable_engine* engine : engines) {
        sum += count_placeable_layers(profile, *engine, tokens);
    }
    return sum >= copies * profile.layers;
}

/// Cost of one usual request if each engine holds as many layers as it can with the given capacity.
struct request_cost
{
    double copies = 0;
    double residence_ms = 0; ///< from its first engine to its last token
    double longest_reading_ms = 0; ///< prompt processing on the engine that takes longest
};

request_cost predict_cost(const engine_profile& profile, const engine_list& engines, double tokens)
{
    request_cost cost;
    double parts = 0;
    for (const placeable_engine* engine : engines) {
        const card_kind* card = profile.find_card(engine->card);
        const unsigned layers = count_placeable_layers(profile, *engine, tokens);
        if (card == nullptr || layers == 0) {
            continue;
        }
        const double share = static_cast<double>(layers) / profile.layers;
        const double reading_ms = share * predict_prompt_ms(profile, *card);
        cost.copies += share;
        cost.residence_ms +=
            reading_ms + share * profile.usual_answer_tokens * profile.step_ms * card->step_factor;
        cost.longest_reading_ms = std::max(cost.longest_reading_ms, reading_ms);
        ++parts;
    }
    cost.residence_ms += parts * profile.usual_answer_tokens * engine_hop_ms;
    cost.residence_ms /= std::max(cost.copies, 1.0);
    return cost;
}

} // namespace

unsigned count_placeable_layers(const engine_profile& profile, const placeable_engine& engine, double tokens)
{
    const card_kind* card = profile.find_card(engine.card);
    if (card == nullptr) {
        return 0;
    }
    const double fitting = count_fitting_layers(profile, *card, tokens);
    return static_cast<unsigned>(std::min<double>(fitting, profile.layers));
}

std::optional<double> find_max_token_capacity(
    const engine_profile& profile, const engine_list& engines, double copies)
{
    if (!hold_copies(profile, engines, 0, copies)) {
        return std::nullopt;
    }
    double low = 0;
    double high = 1;
    while (hold_copies(profile, engines, high, copies) && high < max_capacity_tokens) {
        low = high;
        high *= 2;
    }
    for (int turn = 0; turn < capacity_search_steps; ++turn) {
        const double middle = (low + high) / 2;
        (hold_copies(profile, engines, middle, copies) ? low : high) = middle;
    }
    return low;
}

double choose_token_capacity(
    const engine_profile& profile, const engine_list& engines, const placement_aim& aim)
{
    const double least = aim.min_requests * usual_request_tokens(profile);
    const auto count = static_cast<double>(engines.size());
    const double copies = std::max(aim.copies, count / aim.max_stages);
    const double wanted = find_max_token_capacity(profile, engines, copies).value_or(0);
    if (wanted >= least) {
        return wanted;
    }
    const std::optional<double> single = find_max_token_capacity(profile, engines, 1);
    return std::min(least, single.value_or(least));
}

double predict_residence_ms(const engine_profile& profile, const engine_list& engines, double tokens)
{
    return predict_cost(profile, engines, tokens).residence_ms;
}

double predict_group_rate(const engine_profile& profile, const engine_list& engines, unsigned hall_count)
{
    const std::optional<double> capacity = find_max_token_capacity(profile, engines, 1);
    if (!capacity) {
        return 0;
    }
    const request_cost cost = predict_cost(profile, engines, *capacity);
    double at_once = *capacity / std::max(usual_request_tokens(profile), 1.0);
    if (profile.request_slots > 0) {
        at_once = std::min<double>(at_once, profile.request_slots);
    }
    double rate = at_once / std::max(cost.residence_ms / milliseconds_per_second, 1e-6);
    if (cost.longest_reading_ms > 0) {
        rate = std::min(rate, milliseconds_per_second / cost.longest_reading_ms);
    }
    return hall_count > 1 ? std::min(rate, predict_pipe_rate(profile)) : rate;
}

double predict_pipe_rate(const engine_profile& profile)
{
    const double prompt_bits = profile.crossing_bits(profile.usual_prompt_tokens);
    if (profile.hall_pipe_mbps <= 0 || prompt_bits <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return most_pipe_share * profile.pipe_bits_per_s() / prompt_bits;
}

} // namespace sailtiller
