// SPDX-License-Identifier: Apache-2.0
// Cost of a change of the bundle on a host: verifying the activation, putting the bundle together, building
// what serves it. The argument is the share of the letter-size bundle in percent.
#include "lettersize.h"

#include <bundle/activationfold.h>
#include <bundle/bundleparts.h>
#include <entry/servingstate.h>
#include <support/sampleactivation.h>

#include <benchmark/benchmark.h>

namespace {

using namespace sailtiller;

double share_of(const benchmark::State& state)
{
    return static_cast<double>(state.range(0)) / 100.0;
}

void judge_activation(benchmark::State& state)
{
    tests::sample_operator anna("anna");
    const trust_settings trust = tests::trust_in({&anna});
    const signed_activation item = anna.activate(activation_fold(trust), part_digest("a"));
    for (auto _ : state) {
        activation_fold fold(trust);
        fold.read(log_offset(0), item);
        benchmark::DoNotOptimize(fold.in_force());
    }
}

BENCHMARK(judge_activation)->Unit(benchmark::kMicrosecond);

void assemble(benchmark::State& state)
{
    const bundle_part_set set = cut_into_parts(bench::make_letter_bundle(share_of(state)));
    std::map<part_digest, std::string> parts;
    for (const bundle_part& part : set.parts) {
        parts.emplace(part.digest, part.body);
    }
    const part_lookup lookup = [&parts](const part_digest& digest) { return &parts.at(digest); };
    for (auto _ : state) {
        benchmark::DoNotOptimize(assemble_bundle(read_manifest(set.manifest.body), lookup));
    }
}

BENCHMARK(assemble)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);

void build_serving_state(benchmark::State& state)
{
    const bundle content = bench::make_letter_bundle(share_of(state));
    load_table loads;
    const random_function random = make_seeded_random(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            serving_state(content, generation_number(1), host_id("host"), loads, random));
    }
}

BENCHMARK(build_serving_state)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);

} // namespace
