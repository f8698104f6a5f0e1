// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <admission/forecastcorrection.h>
#include <routing/layerpath.h>

namespace sailtiller {

/// Predicted times of one more request over a path.
struct path_forecast
{
    duration slot_wait{}; ///< until the head has a free request slot
    duration prompt_wait{}; ///< for the prompts of other requests, over all stages
    duration idle_time{}; ///< prompt and first step of the request itself
    duration pause{}; ///< between two events
    upstream_id binding; ///< stage with the longest wait

    [[nodiscard]] duration wait() const { return this->slot_wait + this->prompt_wait; }
    [[nodiscard]] duration first_event() const { return this->wait() + this->idle_time; }
};

/// Input of a forecast.
struct forecast_query
{
    const engine_profile& profile;
    const upstream_directory& directory;
    const engine_loads& loads;
    const forecast_corrections& corrections;
    double prompt_tokens = 0;
    double reserved_slots = 0; ///< slots of the head that are kept for other requests
    double urgent_share = 0; ///< of the head's slots that go to requests that it admits before this one
    time_point now{};
};

/// Predicts the times of one more request over a path with the work that all hosts have there. Each stage
/// works on the usual prompts of its requests at the rate at which these end, and the head has a number of
/// slots, which bounds what it starts.
path_forecast predict_path_times(const forecast_query& query, const layer_path& path);

} // namespace sailtiller
