// SPDX-License-Identifier: Apache-2.0
// Cost of a routing decision, of finding an account and of admitting a request.
#include "lettersize.h"

#include <fleet/shareallocator.h>
#include <fleet/shareclient.h>
#include <routing/accountindex.h>
#include <routing/chainpolicy.h>

#include <benchmark/benchmark.h>

namespace {

using namespace sailtiller;

void decide(benchmark::State& state, policy_kind kind)
{
    tests::sample_sizes sizes;
    sizes.layers = 64;
    sizes.stages = static_cast<std::uint32_t>(state.range(0));
    sizes.holders_of_a_stage = static_cast<std::uint32_t>(state.range(1));
    const bundle content = tests::make_sample_bundle(sizes);
    load_table loads;
    const routing_table table(content, host_id("host"), loads);
    const chain_policy policy = make_chain_policy(kind, make_seeded_random(1));
    const model_routes& routes = *table.routes_of(model_id("model-0"));
    for (auto _ : state) {
        benchmark::DoNotOptimize(policy(routes, {time_point(), {}}));
    }
}

BENCHMARK_CAPTURE(decide, round_robin, policy_kind::round_robin)->Args({8, 24})->Args({2, 4});
BENCHMARK_CAPTURE(decide, least_in_flight, policy_kind::least_in_flight)->Args({8, 24})->Args({2, 4});
BENCHMARK_CAPTURE(decide, least_time, policy_kind::least_time)
    ->Args({8, 24})
    ->Args({8, 16})
    ->Args({8, 8})
    ->Args({8, 4})
    ->Args({2, 4});

void find_account(benchmark::State& state)
{
    const bundle content =
        tests::make_sample_bundle({.accounts = static_cast<std::uint32_t>(state.range(0))});
    const account_index index(content);
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.find_by_key("key-7"));
    }
}

BENCHMARK(find_account)->Arg(10)->Arg(bench::accounts);

/// Admission against a share that is at hand.
void admit_request(benchmark::State& state)
{
    const bundle content = tests::make_sample_bundle({.accounts = bench::accounts});
    timer_queue timers;
    share_hooks hooks;
    hooks.timers = make_timer_hooks(timers, [] { return time_point(); });
    share_client holder(host_id("host"), hooks);
    std::vector<client_account> accounts = content.accounts;
    for (client_account& account : accounts) {
        account.limits = {};
    }
    std::size_t next = 0;
    for (auto _ : state) {
        const client_account& account = accounts[next++ % accounts.size()];
        holder.admit(account, [](const std::optional<share_refusal>& refusal) {
            benchmark::DoNotOptimize(refusal.has_value());
        });
        holder.finish(account.name);
    }
}

BENCHMARK(admit_request);

/// A home's answer to one wish, its question and grant encoded and decoded once each.
void grant_share(benchmark::State& state)
{
    const account_limits limits{100, 50.0};
    share_allocator home([&limits](const client_account_id&) { return &limits; });
    std::size_t next = 0;
    for (auto _ : state) {
        const client_account_id account("account-" + std::to_string(next++ % bench::accounts));
        const std::string question = encode_share_query({host_id("host-17"), {{account, 3, 2, 1}}});
        const std::string grants =
            encode_share_grants(home.answer(decode_share_query(question), time_point()));
        benchmark::DoNotOptimize(decode_share_grants(grants));
    }
}

BENCHMARK(grant_share);

} // namespace
