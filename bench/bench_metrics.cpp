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
        metrics.record_between_tokens("batch", labels[next++ % labels.size()], duration(1000 + sample));
    }
}

BENCHMARK(record_time);

/// Metrics of so many accounts in four classes.
host_metrics make_metrics(std::int64_t accounts)
{
    host_metrics metrics;
    for (std::int64_t account = 0; account < accounts; ++account) {
        const std::string label = "account-" + std::to_string(account);
        const std::string service_class = "class-" + std::to_string(account % 4);
        for (int sample = 0; sample < 100; ++sample) {
            metrics.record_first_token(service_class, label, duration(10'000 * (1 + sample)));
            metrics.record_between_tokens(service_class, label, duration(1'000 * (1 + sample)));
            metrics.record_queue(service_class, label, duration(200 * (1 + sample)));
            metrics.record_total(service_class, label, duration(100'000 * (1 + sample)));
        }
    }
    return metrics;
}

/// The page that is read often.
void write_metrics(benchmark::State& state)
{
    const host_metrics metrics = make_metrics(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = metrics.write();
        bytes = text.size();
        benchmark::DoNotOptimize(text.data());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(write_metrics)->Arg(10)->Arg(bench::accounts)->Unit(benchmark::kMillisecond);

/// The page of all accounts, which is asked for by hand.
void write_accounts(benchmark::State& state)
{
    const host_metrics metrics = make_metrics(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = metrics.write_accounts(std::nullopt);
        bytes = text.size();
        benchmark::DoNotOptimize(text.data());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(write_accounts)->Arg(10)->Arg(bench::accounts)->Unit(benchmark::kMillisecond);

} // namespace
