// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <bundle/bundle.h>
#include <routing/loadtable.h>

#include <map>

namespace sailtiller {

/// A stage of a model with one of its holders.
struct stage_option
{
    upstream_id holder;
    endpoint address;
    layer_range layers;
    duration step_time{};
    duration link_delay{};
    std::uint32_t streams = 1;
    std::shared_ptr<upstream_load> load;
};

/// Stages of a model, grouped by their first layer.
struct model_routes
{
    model_id name;
    std::uint32_t layers = 0;
    std::vector<std::vector<stage_option>> starting_at; ///< index: first layer
};

/// One upstream of a plain service.
struct service_option
{
    upstream_id name;
    endpoint address;
    std::shared_ptr<upstream_load> load;
};

/// Number of holders of one layer range that a host considers. More spread the load more evenly, fewer cost
/// less time per choice; docs/design/routing.md has the measurements.
constexpr std::size_t holders_per_stage = 16;

/// Routes of one host by one bundle, rebuilt for each bundle that takes effect.
class routing_table
{
public:
    /// `self` selects this host's subset of holders by rendezvous hashing, which keeps the load over all
    /// hosts even. `loads` provides the loads that the routes share.
    routing_table(const bundle& content, const host_id& self, load_table& loads);

    /// Returns the routes of a model, or null if the bundle has no such model.
    [[nodiscard]] const model_routes* routes_of(const model_id& name) const;
    /// Returns the upstreams of a plain service; empty if the bundle has no such service.
    [[nodiscard]] const std::vector<service_option>& options_of(const service_id& name) const;
    [[nodiscard]] std::size_t stage_count() const;

private:
    void add_model(const model& item, const std::map<upstream_id, upstream>& upstreams, const host_id& self,
        load_table& loads);

    std::map<model_id, model_routes> models;
    std::map<service_id, std::vector<service_option>> services;
};

} // namespace sailtiller
