// SPDX-License-Identifier: Apache-2.0
// Cost of recording a time and of writing all metrics for a scrape.
#include "lettersize.h"

#include <runtime/metrics.h>

#include <benchmark/benchmark.h>

namespace {

using namespace sailtiller;

void record_time(benchmark::State& state)
{
    host_metrics metrics;
    std::vector<std::string> labels;
    for (std::uint32_t account = 0; account < bench::accounts; ++account) {
        labels.push_back("account-" + std::to_string(account));
    }
    std::size_t next = 0;
    for (auto _ : state) {
        const auto sample = static_cast<std::int64_t>(next % 900'000);
        metrics.between_tokens.record(labels[next++ % labels.size()], duration(1000 + sample));
    }
}

BENCHMARK(record_time);

void write_metrics(benchmark::State& state)
{
    host_metrics metrics;
    for (std::int64_t account = 0; account < state.range(0); ++account) {
        const std::string label = "account-" + std::to_string(account);
        for (int sample = 0; sample < 100; ++sample) {
            metrics.first_token.record(label, duration(10'000 * (1 + sample)));
            metrics.between_tokens.record(label, duration(1'000 * (1 + sample)));
            metrics.total_time.record(label, duration(100'000 * (1 + sample)));
        }
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = metrics.write();
        bytes = text.size();
        benchmark::DoNotOptimize(text.data());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(write_metrics)->Arg(10)->Arg(bench::accounts)->Unit(benchmark::kMillisecond);

} // namespace
