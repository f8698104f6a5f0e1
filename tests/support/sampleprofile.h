// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/sitebundle.h>

namespace sailtiller::tests {

/// A model of 16 layers of 1,000 MB, on big cards (10 GB) and small slow ones (5 GB).
inline engine_profile make_sample_profile()
{
    engine_profile profile;
    profile.model = model_id("m");
    profile.layers = 16;
    profile.layer_mb = 1000;
    profile.token_bytes = 1'600'000; // 0.1 MB for each token and layer
    profile.step_ms = 1;
    profile.prompt_tokens_per_s = 100'000;
    profile.activation_bytes = 10'000;
    profile.hall_pipe_mbps = 1000;
    profile.load_seconds = 8;
    profile.loads_at_once = 4;
    profile.usual_prompt_tokens = 80;
    profile.usual_answer_tokens = 20;
    profile.kinds = {{"big", {10'000, 1, 1}}, {"small", {5'000, 4, 4}}};
    return profile;
}

} // namespace sailtiller::tests
