// SPDX-License-Identifier: Apache-2.0
#include <routing/routingtable.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Reduces `holders` to the `holders_per_stage` ones with the highest rendezvous score for this host.
void keep_subset(std::vector<const stage_holder*>& holders, const host_id& self)
{
    if (holders.size() <= holders_per_stage) {
        return;
    }
    const std::uint64_t seed = stable_hash(self.value());
    const auto score = [seed](
                           const stage_holder* holder) { return stable_hash(holder->holder.value(), seed); };
    const auto middle = holders.begin() + holders_per_stage;
    std::nth_element(holders.begin(), middle, holders.end(),
        [&score](const stage_holder* left, const stage_holder* right) { return score(left) > score(right); });
    holders.erase(middle, holders.end());
}

} // namespace

routing_table::routing_table(const bundle& content, const host_id& self, load_table& loads)
{
    std::map<upstream_id, upstream> upstreams;
    for (const upstream& item : content.upstreams) {
        upstreams.emplace(item.name, item);
    }
    for (const model& item : content.models) {
        this->add_model(item, upstreams, self, loads);
    }
    for (const plain_service& service : content.services) {
        std::vector<service_option>& options = this->services[service.name];
        for (const upstream_id& name : service.upstreams) {
            options.push_back({name, upstreams.at(name).address, loads.load_of(name)});
        }
    }
}

void routing_table::add_model(const model& item, const std::map<upstream_id, upstream>& upstreams,
    const host_id& self, load_table& loads)
{
    std::map<layer_range, std::vector<const stage_holder*>> by_range;
    for (const stage_holder& holder : item.holders) {
        by_range[holder.layers].push_back(&holder);
    }
    model_routes& routes = this->models[item.name];
    routes.name = item.name;
    routes.layers = item.layers;
    routes.starting_at.resize(item.layers);
    for (auto& [range, holders] : by_range) {
        keep_subset(holders, self);
        for (const stage_holder* holder : holders) {
            const upstream& target = upstreams.at(holder->holder);
            routes.starting_at[range.first.value()].push_back({holder->holder, target.address, range,
                holder->step_time, target.link_delay, target.streams, loads.load_of(holder->holder)});
        }
    }
}

const model_routes* routing_table::routes_of(const model_id& name) const
{
    const auto found = this->models.find(name);
    return found == this->models.end() ? nullptr : &found->second;
}

const std::vector<service_option>& routing_table::options_of(const service_id& name) const
{
    static const std::vector<service_option> no_options;
    const auto found = this->services.find(name);
    return found == this->services.end() ? no_options : found->second;
}

std::size_t routing_table::stage_count() const
{
    std::size_t count = 0;
    for (const auto& [name, routes] : this->models) {
        for (const std::vector<stage_option>& options : routes.starting_at) {
            count += options.size();
        }
    }
    return count;
}

} // namespace sailtiller
