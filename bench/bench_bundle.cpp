// SPDX-License-Identifier: Apache-2.0
// Cost of a change of the bundle on a host: verifying the activation, putting the bundle together, building
// what serves it. The argument is the share of the letter-size bundle in percent.
#include "lettersize.h"

#include <bundle/activationfold.h>
#include <bundle/bundleassembler.h>
#include <entry/servingstate.h>
#include <support/partmap.h>
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

/// A host's first bundle: every part is read.
void assemble_first(benchmark::State& state)
{
    const bundle_part_set set = cut_into_parts(bench::make_letter_bundle(share_of(state)));
    const tests::part_map parts = tests::to_map(set);
    const part_lookup lookup = tests::lookup_in(parts);
    for (auto _ : state) {
        benchmark::DoNotOptimize(bundle_assembler().assemble(read_manifest(set.manifest.body), lookup));
    }
}

BENCHMARK(assemble_first)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);

/// A change of one account: two bundles in turn, of which one part differs.
void assemble_change(benchmark::State& state)
{
    bundle content = bench::make_letter_bundle(share_of(state));
    const bundle_part_set before = cut_into_parts(content);
    content.accounts[1].limits.streams = 7;
    const bundle_part_set after = cut_into_parts(content);
    tests::part_map parts = tests::to_map(before);
    parts.merge(tests::to_map(after));
    const part_lookup lookup = tests::lookup_in(parts);
    bundle_assembler assembler;
    bool is_after = false;
    for (auto _ : state) {
        const bundle_part_set& set = is_after ? after : before;
        is_after = !is_after;
        benchmark::DoNotOptimize(assembler.assemble(read_manifest(set.manifest.body), lookup));
    }
}

BENCHMARK(assemble_change)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);

void build_serving_state(benchmark::State& state)
{
    const auto content = std::make_shared<const bundle>(bench::make_letter_bundle(share_of(state)));
    load_table loads;
    const random_function random = make_seeded_random(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            serving_state(content, generation_number(1), host_id("host"), loads, random));
    }
}

BENCHMARK(build_serving_state)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);

} // namespace
