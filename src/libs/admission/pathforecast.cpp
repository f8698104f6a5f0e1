// SPDX-License-Identifier: Apache-2.0
#include <admission/pathforecast.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Bounds the predicted wait of a stage that gets more prompts than it can process: the excess grows with
/// time, and the requests counted there already show a part of it.
constexpr double max_prompt_utilization = 0.95;

/// Bounds the predicted wait of a request while nearly all others are more urgent.
constexpr double max_urgent_share = 0.9;

/// Returns the time for which a usual request occupies its slot.
duration residence_of(const forecast_query& query, const layer_path& path, duration token_time)
{
    if (query.corrections.residence) {
        return std::max(*query.corrections.residence, token_time);
    }
    return predict_prompt_time(query.profile, query.directory, path, query.profile.usual_prompt_tokens)
        + scale(token_time, std::max(query.profile.usual_answer_tokens, 1.0));
}

/// Returns the mean wait for the prompts of other requests at a stage (M/M/1).
duration prompt_wait_of(const forecast_query& query, const path_stage& stage, duration residence)
{
    const engine_load& load = query.loads.of(stage.id);
    const duration prompt =
        scale(predict_prompt_time(query.profile, query.directory, {stage}, query.profile.usual_prompt_tokens),
            load.pace);
    const double prompts_at_once = query.loads.total_requests(load) * static_cast<double>(prompt.count())
        / static_cast<double>(std::max<duration::rep>(residence.count(), 1));
    const double utilization = std::min(prompts_at_once, max_prompt_utilization);
    return scale(prompt, utilization / (1 - utilization));
}

} // namespace

path_forecast predict_path_times(const forecast_query& query, const layer_path& path)
{
    path_forecast result;
    if (path.empty()) {
        return result;
    }
    const duration token_time = predict_token_time(query.profile, query.directory, query.loads, path);
    const duration residence = residence_of(query, path, token_time);
    const double correction = query.corrections.first_event.at(query.now);
    result.binding = path.front().id;
    duration longest{};
    for (const path_stage& stage : path) {
        const duration wait = scale(prompt_wait_of(query, stage, residence), correction);
        result.prompt_wait += wait;
        if (wait > longest) {
            longest = wait;
            result.binding = stage.id;
        }
    }
    if (query.profile.request_slots > 0) {
        const double slots = query.profile.request_slots;
        const double wanted =
            query.loads.total_requests(query.loads.of(path.front().id)) + query.reserved_slots + 1;
        // Requests that arrive later and are more urgent are admitted first.
        const double usable = slots * (1 - std::min(query.urgent_share, max_urgent_share));
        result.slot_wait = scale(residence, std::max(0.0, wanted - slots) / usable);
    }
    if (result.slot_wait > longest) {
        result.binding = path.front().id;
    }
    const duration prompt = predict_prompt_time(query.profile, query.directory, path, query.prompt_tokens);
    result.idle_time = scale(prompt + token_time, correction);
    result.pause = scale(token_time, query.corrections.pause.at(query.now));
    return result;
}

} // namespace sailtiller
