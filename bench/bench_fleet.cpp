// SPDX-License-Identifier: Apache-2.0
// Cost of ownership and of the carrier's look at what is due.
#include "lettersize.h"

#include <fleet/ownership.h>
#include <fleet/renewalschedule.h>

#include <benchmark/benchmark.h>

namespace {

using namespace sailtiller;

void find_key_owner(benchmark::State& state)
{
    const std::vector<host_id> hosts = bench::make_hosts(static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(find_owner("account-17", hosts));
    }
}

BENCHMARK(find_key_owner)->Arg(9)->Arg(bench::hosts);

/// A look when nothing is due, which is nearly every one of them.
void look_at_duties(benchmark::State& state)
{
    renewal_schedule duty({}, host_id("host-0"));
    const std::vector<host_id> hosts = bench::make_hosts(bench::hosts);
    for (std::int64_t record = 0; record < state.range(0); ++record) {
        duty.note_seen(std::to_string(record), time_point());
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(duty.due(time_point(), hosts, 20));
    }
}

BENCHMARK(look_at_duties)->Arg(10)->Arg(300);

} // namespace
