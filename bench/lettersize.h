// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <support/samplebundle.h>

namespace sailtiller::bench {

/// The sizes that the users expect within two years (README.md): 600 replicas of 25 models are 24 a model, on
/// 4,800 accelerators, so 8 stages each if every accelerator holds a range of its own, which is the costliest
/// cut.
constexpr std::uint32_t accounts = 2800;
constexpr std::uint32_t models = 25;
constexpr std::uint32_t replicas_a_model = 24;
constexpr std::uint32_t stages_a_replica = 8;
constexpr std::uint32_t hosts = 400;

/// A bundle of that size; `share` makes smaller ones, 1 is the whole.
inline bundle make_letter_bundle(double share = 1.0)
{
    tests::sample_sizes sizes;
    sizes.accounts = static_cast<std::uint32_t>(accounts * share);
    sizes.models = std::max(1U, static_cast<std::uint32_t>(models * share));
    sizes.layers = 64;
    sizes.stages = stages_a_replica;
    sizes.holders_of_a_stage = replicas_a_model;
    return tests::make_sample_bundle(sizes);
}

/// Names of live hosts.
inline std::vector<host_id> make_hosts(std::uint32_t count)
{
    std::vector<host_id> names;
    names.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        names.emplace_back("host-" + std::to_string(index));
    }
    return names;
}

} // namespace sailtiller::bench
