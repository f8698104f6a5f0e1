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

/// One upstream of a path with the layers that it runs.
struct path_stage
{
    upstream_id id;
    endpoint address;
    layer_span span;
};

/// Upstreams that run every layer once, in order. The request goes to the first, which passes it on.
using layer_path = std::vector<path_stage>;

/// What a path is wanted for.
struct path_query
{
    service_id service;
    data_hall_id origin; ///< of the host that asks
    double prompt_tokens = 0;
    double answer_tokens = 0; ///< expected
    std::set<upstream_id> avoided;
    /// The path of a running request that wants another one; empty for a new request. Its head stays as it
    /// is. Its other parts may stay, also on upstreams that are leaving: they know the prompt, and new ones
    /// must read it.
    layer_path current_path;
    /// False of an upstream that may not begin a new request now; may be left out, so that each may.
    std::function<bool(const upstream_id&)> may_be_head;
    /// How far the pipe between two halls is used; may be left out.
    std::function<double(const data_hall_id& from, const data_hall_id& to)> pipe_utilization;
    time_point now{};
    /// Draws how far each upstream's cost is off; may be left out.
    random_function random;
};

/// Tokens for which an upstream has room when it runs `layers` layers.
double token_layer_capacity(const engine_profile& profile, const card_kind& card, unsigned layers);

/// Time to read a prompt through a path whose upstreams have nothing else to do.
duration predict_prompt_time(const engine_profile& profile, const upstream_directory& directory,
    const layer_path& path, double prompt_tokens);

/// Time of one token through a path, by the steps of its upstreams at their present load and the hops between
/// them.
duration predict_token_time(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path);

/// Visits each step of a path from one hall to another, in order.
void visit_crossings(const upstream_directory& directory, const layer_path& path,
    const std::function<void(const data_hall_id& from, const data_hall_id& to)>& visit);

/// How often a path goes from one hall to another.
unsigned count_crossings(const upstream_directory& directory, const layer_path& path);

/// The largest share of its room that any upstream of the path would use with one more such request.
double predict_peak_utilization(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path, double tokens);

/// The share of an upstream's room for tokens that all hosts' requests use; 1 if it has none.
double token_utilization_of(
    const engine_profile& profile, const engine_loads& loads, const discovered_upstream& upstream);

/// Finds the cheapest path over parts of the held ranges, by predicted time, the room that is left, and the
/// price of leaving a hall. Nothing if some layer has no holder that may be used.
std::optional<layer_path> find_layer_path(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const path_query& question);

} // namespace sailtiller
