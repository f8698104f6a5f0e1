// SPDX-License-Identifier: Apache-2.0
// Cost of a token in the core and in the engines' codec, without sockets.
#include "lettersize.h"

#include <delivery/streamrelay.h>
#include <engines/stepcodec.h>

#include <benchmark/benchmark.h>
#include <utility>

namespace {

using namespace sailtiller;

/// Bytes of a hidden state for one token: 8,192 numbers of two bytes, as in a model of some 70 billion
/// weights.
constexpr std::size_t hidden_bytes = 16'384;

step_request make_step(std::size_t input_bytes)
{
    step_request step;
    step.stream = stream_id("0123456789abcdef0123456789abcdef");
    step.attempt = attempt_number(1);
    step.position = token_position(17);
    step.model = model_id("model-0");
    step.layers = {layer_index(0), layer_index(7)};
    step.kind = step_kind::decode;
    step.input = std::string(input_bytes, 'x');
    return step;
}

void encode_step(benchmark::State& state)
{
    const step_request step = make_step(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(encode_step_request(step));
    }
}

BENCHMARK(encode_step)->Arg(16)->Arg(hidden_bytes);

void decode_answer(benchmark::State& state)
{
    const step_request step = make_step(0);
    const std::string bytes = encode_step_answer({step.stream, step.attempt, step.position,
        std::string(static_cast<std::size_t>(state.range(0)), 'x'), {}, {}});
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode_step_answer(bytes));
    }
}

BENCHMARK(decode_answer)->Arg(16)->Arg(hidden_bytes);

/// The core's part of relaying tokens over a chain of so many stages whose answers are there at once.
void relay_tokens(benchmark::State& state)
{
    tests::sample_sizes sizes;
    sizes.layers = 64;
    sizes.stages = static_cast<std::uint32_t>(state.range(0));
    const bundle content = tests::make_sample_bundle(sizes);
    load_table loads;
    const routing_table table(content, host_id("host"), loads);
    const chain_policy policy = make_chain_policy(policy_kind::least_time, make_seeded_random(1));
    timer_queue timers;
    const clock_function now = [] { return time_point(); };
    constexpr std::uint32_t tokens = 200;
    std::function<void()> next;
    for (auto _ : state) {
        relay_hooks hooks;
        hooks.send_step = [&next, &sizes](
                              const stage_option& stage, const step_request& step, auto on_answer, auto) {
            step_answer answer{step.stream, step.attempt, step.position, "hidden", {}, {}};
            if (stage.layers.last.value() + 1 == sizes.layers) {
                answer.token = generated_token{" token", false, ""};
            }
            next = [on_answer, answer] { on_answer(answer); };
            return call_id{1};
        };
        hooks.cancel_step = [](call_id) {};
        hooks.release = [](const stage_option&, const stream_id&, attempt_number) {};
        hooks.choose_chain = [&](const std::set<upstream_id>& avoid) {
            return policy(*table.routes_of(model_id("model-0")), {time_point(), avoid});
        };
        hooks.take_retry = [] { return false; };
        hooks.note = [](const std::string&, const std::string&, const std::string&) {};
        hooks.timers = make_timer_hooks(timers, now);
        bool is_done = false;
        relay_listener listener{[](const generated_token&, token_position) {}, [&is_done] { is_done = true; },
            [](const request_failure&) {}};
        relay_request request;
        request.stream = stream_id("stream");
        request.model = model_id("model-0");
        request.most_tokens = tokens;
        request.times = content.times;
        request.most_attempts = 1;
        stream_relay relay(request, hooks, listener);
        relay.start();
        while (!is_done) {
            const std::function<void()> step = std::exchange(next, nullptr);
            step();
        }
    }
    state.SetItemsProcessed(state.iterations() * tokens);
}

BENCHMARK(relay_tokens)->Arg(1)->Arg(2)->Arg(4)->Arg(8)->Unit(benchmark::kMicrosecond);

} // namespace
