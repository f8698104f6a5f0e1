// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <bundle/sitebundle.h>
#include <directory/upstreamdirectory.h>
#include <routing/engineloads.h>

#include <functional>
#include <optional>
#include <set>

namespace sailtiller {

/// One upstream of a layer path with the layers that it runs.
struct path_stage
{
    upstream_id id;
    endpoint address;
    layer_span span;
};

/// Stages that run every layer once, in order. A request is sent to the first stage, the head, which forwards
/// it to the next.
using layer_path = std::vector<path_stage>;

/// Input of a path search.
struct path_query
{
    service_id service;
    data_hall_id origin; ///< data hall of the requesting host
    double prompt_tokens = 0;
    double answer_tokens = 0; ///< expected length of the answer
    std::set<upstream_id> avoided; ///< upstreams that must not be used
    /// Path of a running request that is to be rerouted; empty for a new request. The head keeps its layers.
    /// The other stages may be kept, also on leaving upstreams, as they have the prompt in their cache and
    /// new ones must read it.
    layer_path current_path;
    /// Returns whether an upstream may be the head of a new request now. Optional; by default all may.
    std::function<bool(const upstream_id&)> may_be_head;
    /// Returns the utilization of the pipe between two data halls. Optional; by default 0.
    std::function<double(const data_hall_id& from, const data_hall_id& to)> pipe_utilization;
    time_point now{};
    /// Source of the random factors on the costs of upstreams. Optional; by default costs are used as they
    /// are.
    random_function random;
};

/// Returns the capacity of an upstream that holds `layers` layers, in tokens times layers.
double token_layer_capacity(const engine_profile& profile, const card_kind& card, unsigned layers);

/// Predicts the prefill time of a prompt on a path whose upstreams are idle.
duration predict_prompt_time(const engine_profile& profile, const upstream_directory& directory,
    const layer_path& path, double prompt_tokens);

/// Predicts the time of one decode step on a path: the step times of its stages at their current load and the
/// hops between them.
duration predict_token_time(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path);

/// Calls `visit` for each hop of a path from one data hall to another, in order.
void visit_crossings(const upstream_directory& directory, const layer_path& path,
    const std::function<void(const data_hall_id& from, const data_hall_id& to)>& visit);

/// Returns the number of hops of a path between data halls.
unsigned count_crossings(const upstream_directory& directory, const layer_path& path);

/// Predicts the highest capacity utilization among the upstreams of a path with one more request of `tokens`
/// tokens.
double predict_peak_utilization(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path, double tokens);

/// Returns the share of an upstream's token capacity that the requests of all hosts use; 1 if it has no
/// capacity.
double token_utilization_of(
    const engine_profile& profile, const engine_loads& loads, const discovered_upstream& upstream);

/// Finds the cheapest path over the layers that upstreams hold, by predicted time, free capacity, and the
/// cost of crossing data halls. A stage may run a part of the layers that its upstream holds. Returns nothing
/// if some layer has no usable holder, or if the path has more stages than engines accept.
std::optional<layer_path> find_layer_path(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const path_query& query);

} // namespace sailtiller
