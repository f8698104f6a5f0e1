// SPDX-License-Identifier: Apache-2.0
#include <routing/chainpolicy.h>

#include <algorithm>
#include <limits>

namespace sailtiller {

namespace {

using cost = double;
using stage_cost = std::function<cost(const stage_option&)>;

constexpr cost unreachable = std::numeric_limits<cost>::infinity();

/// Treatment of stages whose breaker is not closed.
enum class open_breaker_policy { respect, ignore };

bool is_usable(const stage_option& stage, const chain_request& request, open_breaker_policy rule)
{
    if (request.avoid.contains(stage.holder) || stage.load->is_excluded(request.now)) {
        return false;
    }
    return rule == open_breaker_policy::ignore || stage.load->is_available(request.now);
}

/// Finds the cheapest chain as a shortest path over the layers. Each stage is an edge from its first layer to
/// the layer after its last.
std::optional<chain> find_cheapest_chain(const model_routes& routes, const chain_request& request,
    open_breaker_policy rule, const stage_cost& cost_of)
{
    std::vector<cost> best(routes.layers + 1, unreachable);
    std::vector<const stage_option*> arrived_by(routes.layers + 1, nullptr);
    best[0] = 0;
    for (std::uint32_t layer = 0; layer < routes.layers; ++layer) {
        if (best[layer] == unreachable) {
            continue;
        }
        for (const stage_option& stage : routes.starting_at[layer]) {
            if (!is_usable(stage, request, rule)) {
                continue;
            }
            const std::uint32_t end = stage.layers.last.value() + 1;
            const cost total = best[layer] + cost_of(stage);
            if (total < best[end]) {
                best[end] = total;
                arrived_by[end] = &stage;
            }
        }
    }
    if (arrived_by[routes.layers] == nullptr) {
        return std::nullopt;
    }
    chain stages;
    for (std::uint32_t layer = routes.layers; layer > 0; layer = stages.back().layers.first.value()) {
        stages.push_back(*arrived_by[layer]);
    }
    std::reverse(stages.begin(), stages.end());
    return stages;
}

std::optional<chain> find_chain(
    const model_routes& routes, const chain_request& request, const stage_cost& cost_of)
{
    if (std::optional<chain> found =
            find_cheapest_chain(routes, request, open_breaker_policy::respect, cost_of)) {
        return found;
    }
    return find_cheapest_chain(routes, request, open_breaker_policy::ignore, cost_of);
}

/// Returns the expected time of one decode step: the step time of the holder, extended if its batch is full,
/// and the round trip to it.
cost expected_step_time(const stage_option& stage, time_point now)
{
    const double streams = stage.load->expected_streams(now) + 1.0;
    const double overload = std::max(1.0, streams / stage.streams);
    const double step_time = static_cast<double>(stage.step_time.count());
    const double link = 2.0 * static_cast<double>(stage.link_delay.count());
    // Engines batch, so the step time increases with the load even before the batch is full.
    const double batch_utilization = std::min(1.0, streams / stage.streams);
    return (step_time + 1.0) * overload * (1.0 + 0.25 * batch_utilization) + link;
}

chain_policy make_least_time()
{
    return [](const model_routes& routes, const chain_request& request) {
        return find_chain(routes, request,
            [&request](const stage_option& stage) { return expected_step_time(stage, request.now); });
    };
}

/// Prefers the holders with the fewest requests in flight among a random subset. The cost of a stage grows
/// with its number of layers, so that chains of fewer stages are not preferred.
chain_policy make_least_in_flight(random_function random)
{
    return [random = std::move(random)](const model_routes& routes, const chain_request& request) {
        // Power of two choices: on average two holders of each range are drawn, and the others get a penalty.
        return find_chain(routes, request, [&](const stage_option& stage) {
            const std::size_t holders = routes.starting_at[stage.layers.first.value()].size();
            const bool is_drawn = random() % std::max<std::size_t>(holders, 1) < 2;
            const double relative = (stage.load->in_flight() + 1.0) / stage.streams;
            const double penalty = is_drawn ? 0.0 : 1e6;
            return (relative + penalty) * stage.layers.count();
        });
    };
}

/// Uses the holders of each stage in turn, regardless of load and speed.
chain_policy make_round_robin(random_function random)
{
    return [turn = random()](const model_routes& routes, const chain_request& request) mutable {
        ++turn;
        std::size_t index = 0;
        return find_chain(routes, request, [&](const stage_option& stage) {
            const std::size_t holders = routes.starting_at[stage.layers.first.value()].size();
            const auto place = static_cast<double>((index++ + turn) % std::max<std::size_t>(holders, 1));
            return (place + 1.0) * stage.layers.count();
        });
    };
}

} // namespace

chain_policy make_chain_policy(policy_kind kind, random_function random)
{
    switch (kind) {
    case policy_kind::round_robin:
        return make_round_robin(std::move(random));
    case policy_kind::least_in_flight:
        return make_least_in_flight(std::move(random));
    case policy_kind::least_time:
        break;
    }
    return make_least_time();
}

bool is_whole_chain(const chain& stages, std::uint32_t layers)
{
    std::uint32_t next_layer = 0;
    for (const stage_option& stage : stages) {
        if (stage.layers.first.value() != next_layer) {
            return false;
        }
        next_layer = stage.layers.last.value() + 1;
    }
    return next_layer == layers;
}

std::optional<service_option> choose_service_option(
    const std::vector<service_option>& options, const chain_request& request, const random_function& random)
{
    std::vector<const service_option*> available;
    std::vector<const service_option*> tripped;
    for (const service_option& option : options) {
        if (!request.avoid.contains(option.name) && !option.load->is_excluded(request.now)) {
            (option.load->is_available(request.now) ? available : tripped).push_back(&option);
        }
    }
    const std::vector<const service_option*>& pool = available.empty() ? tripped : available;
    if (pool.empty()) {
        return std::nullopt;
    }
    const service_option* first = pool[random() % pool.size()];
    const service_option* second = pool[random() % pool.size()];
    return second->load->in_flight() < first->load->in_flight() ? *second : *first;
}

} // namespace sailtiller
