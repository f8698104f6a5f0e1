// SPDX-License-Identifier: Apache-2.0
#include <placement/grouplayout.h>
#include <placement/layercost.h>

#include <limits>

namespace sailtiller {

namespace {

constexpr double milliseconds_per_second = 1000;
constexpr double tokens_per_thousand = 1000;

/// Sums per layer over its holders.
struct layer_sums
{
    double streams = 0;
    double largest = 0; ///< streams of the largest holder
    double holders = 0;
    double fixed_ms = 0; ///< cost of the layer for one request without others, added over its holders
    double shared_ms = 0; ///< added by each other stream at the same holder, added over its holders
};

layer_sums add_holder(layer_sums sums, const engine_profile& profile, const placed_span& placed)
{
    const card_kind& card = *profile.find_card(placed.engine->card);
    const unsigned count = placed.span.count();
    const double streams = count_cached_streams(profile, *placed.engine, count);
    const double answer = profile.usual_answer_tokens;
    const double context = usual_request_tokens(profile) / tokens_per_thousand;
    sums.streams += streams;
    sums.largest = std::max(sums.largest, streams);
    ++sums.holders;
    sums.fixed_ms +=
        (predict_prompt_ms(profile, card) + answer * profile.step_ms * card.step_factor) / profile.layers
        + answer * engine_hop_ms / count;
    sums.shared_ms += answer
        * (profile.step_ms_per_request * card.prompt_factor
            + profile.context_ms_per_thousand * context * card.step_factor)
        / profile.layers;
    return sums;
}

} // namespace

double count_cached_streams(const engine_profile& profile, const placeable_engine& engine, unsigned layers)
{
    const card_kind* card = profile.find_card(engine.card);
    if (card == nullptr || layers == 0) {
        return 0;
    }
    const double cache_mb = card->memory_mb - layers * profile.layer_mb;
    const double stream_mb = usual_request_tokens(profile) * profile.token_layer_mb() * layers;
    return std::max(0.0, cache_mb / std::max(stream_mb, 1e-9));
}

bool layout_room::has_enough_heads() const
{
    return this->head_streams >= this->streams_behind && this->heads_left >= this->streams() / 2;
}

double layout_room::worth() const
{
    const double left = std::min({this->heads_left, this->behind_left, this->streams() / 2});
    return this->residence_ms <= 0 ? 0
                                   : (this->streams() + left) * milliseconds_per_second / this->residence_ms;
}

double count_head_streams(const engine_profile& profile, const placeable_engine& engine, unsigned layers)
{
    return std::min<double>(profile.request_slots, count_cached_streams(profile, engine, layers));
}

layout_room measure_room(const engine_profile& profile, const std::vector<placed_span>& layout)
{
    layout_room room;
    std::vector<layer_sums> layers(profile.layers);
    std::vector<double> heads;
    for (const placed_span& placed : layout) {
        if (placed.span.is_empty() || profile.find_card(placed.engine->card) == nullptr) {
            continue;
        }
        const layer_sums one = add_holder({}, profile, placed);
        for (unsigned layer = placed.span.begin; layer < std::min(placed.span.end, profile.layers); ++layer) {
            layer_sums& sums = layers[layer];
            sums.streams += one.streams;
            sums.largest = std::max(sums.largest, one.streams);
            sums.holders += 1;
            sums.fixed_ms += one.fixed_ms;
            sums.shared_ms += one.shared_ms;
        }
        if (placed.span.holds(0)) {
            heads.push_back(count_head_streams(profile, *placed.engine, placed.span.count()));
        }
    }
    std::sort(heads.begin(), heads.end());
    for (std::size_t index = 0; index < heads.size(); ++index) {
        room.head_streams += heads[index];
        room.heads_left += index + borne_head_losses < heads.size() ? heads[index] : 0;
    }
    room.streams_behind = std::numeric_limits<double>::infinity();
    room.behind_left = room.streams_behind;
    for (unsigned layer = 1; layer < profile.layers; ++layer) {
        room.streams_behind = std::min(room.streams_behind, layers[layer].streams);
        room.behind_left = std::min(room.behind_left, layers[layer].streams - layers[layer].largest);
    }
    for (const layer_sums& sums : layers) {
        const double holders = std::max(sums.holders, 1.0);
        const double batch = room.streams() / holders;
        room.residence_ms += (sums.fixed_ms + batch * sums.shared_ms) / holders;
    }
    return room;
}

std::vector<sized_engine> size_engines(
    const engine_profile& profile, const engine_list& engines, double tokens)
{
    std::vector<sized_engine> sized;
    for (const placeable_engine* engine : engines) {
        sized.push_back({engine, count_placeable_layers(profile, *engine, tokens)});
    }
    return sized;
}

std::vector<placed_span> lay_out_copies(
    const engine_profile& profile, const std::vector<sized_engine>& engines, unsigned first)
{
    std::vector<placed_span> layout;
    unsigned next = first;
    for (const sized_engine& item : engines) {
        const unsigned size = std::min(item.layers, profile.layers - first);
        if (size == 0) {
            continue;
        }
        const unsigned begin = std::min(next, profile.layers - size);
        layout.push_back({item.engine, {begin, begin + size}});
        next = begin + size >= profile.layers ? first : begin + size;
    }
    return layout;
}

std::optional<std::vector<placed_span>> lay_out_nearby(
    const engine_profile& profile, const engine_list& engines, double tokens, unsigned covered)
{
    std::vector<sized_engine> in_order = size_engines(profile, engines, tokens);
    std::erase_if(in_order, [](const sized_engine& item) { return item.layers == 0; });
    std::stable_sort(
        in_order.begin(), in_order.end(), [](const sized_engine& first, const sized_engine& second) {
            const layer_span& left = first.engine->held;
            const layer_span& right = second.engine->held;
            return left.begin + left.end < right.begin + right.end;
        });
    unsigned left = 0; // upper bound of the layers on the current and the following engines
    for (const sized_engine& item : in_order) {
        left += item.layers;
    }
    if (left < profile.layers - covered) {
        return std::nullopt;
    }
    std::vector<placed_span> changed;
    for (const sized_engine& item : in_order) {
        const unsigned open = profile.layers - covered;
        const unsigned spare = left > open ? left - open : 0;
        const unsigned earliest = covered > spare ? covered - spare : 0;
        const unsigned nearest = std::clamp(item.engine->held.begin, earliest, covered);
        const unsigned begin = std::min(nearest, profile.layers - item.layers);
        if (layer_span{begin, begin + item.layers} != item.engine->held) {
            changed.push_back({item.engine, {begin, begin + item.layers}});
        }
        covered = std::max(covered, begin + item.layers);
        left -= item.layers;
    }
    return changed;
}

} // namespace sailtiller
