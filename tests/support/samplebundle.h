// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

namespace sailtiller::tests {

/// Sizes of a sample bundle.
struct sample_sizes
{
    std::uint32_t accounts = 2;
    std::uint32_t models = 1;
    std::uint32_t layers = 8;
    std::uint32_t stages = 2; ///< the layers are cut into so many equal ranges
    std::uint32_t holders_of_a_stage = 2; ///< for each model
};

/// A sound bundle whose names are counted up: accounts "account-0", models "model-0", upstreams
/// "model-0/stage-1/holder-0". Account i has the key "key-i".
bundle make_sample_bundle(const sample_sizes& sizes, const std::string& name = "sample");

} // namespace sailtiller::tests
