// SPDX-License-Identifier: Apache-2.0
#include <bundle/sitebundle.h>

#include <algorithm>

namespace sailtiller {

namespace {

constexpr double bytes_per_mb = 1e6;
constexpr double bits_per_byte = 8;
constexpr double bits_per_mbit = 1e6;

} // namespace

double engine_profile::token_layer_mb() const
{
    return this->layers == 0 ? 0 : this->token_bytes / this->layers / bytes_per_mb;
}

double engine_profile::crossing_bits(double tokens) const
{
    return tokens * this->activation_bytes * bits_per_byte;
}

double engine_profile::pipe_bits_per_s() const
{
    return this->hall_pipe_mbps * bits_per_mbit;
}

const card_kind* engine_profile::find_card(const std::string& card) const
{
    const auto found = this->kinds.find(card);
    return found == this->kinds.end() ? nullptr : &found->second;
}

const card_kind* engine_profile::find_card(const std::string& card, unsigned layers_end) const
{
    return layers_end <= this->layers ? this->find_card(card) : nullptr;
}

void site_bundle::build_index()
{
    this->routes_by_host.clear();
    this->account_by_key.clear();
    for (std::size_t index = 0; index < this->routes.size(); ++index) {
        this->routes_by_host[this->routes[index].host].push_back(index);
    }
    for (auto& [host, indices] : this->routes_by_host) {
        std::stable_sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
            return this->routes[left].path_prefix.size() > this->routes[right].path_prefix.size();
        });
    }
    this->index_accounts();
}

void site_bundle::index_accounts()
{
    if (!this->accounts) {
        return;
    }
    for (std::size_t index = 0; index < this->accounts->size(); ++index) {
        for (const std::string& key : this->accounts->at(index).keys) {
            this->account_by_key.emplace(key, index);
        }
    }
}

const service_route* site_bundle::find_route(std::string_view host, std::string_view path) const
{
    const auto found = this->routes_by_host.find(std::string(host));
    if (found == this->routes_by_host.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(this->routes[index].path_prefix)) {
            return &this->routes[index];
        }
    }
    return nullptr;
}

const account_entry* site_bundle::find_account(const std::string& key) const
{
    const auto found = this->account_by_key.find(key);
    return found == this->account_by_key.end() ? nullptr : &this->accounts->at(found->second);
}

const upstream_pool* site_bundle::find_pool(const service_id& name) const
{
    const auto found = std::find_if(this->pools.begin(), this->pools.end(),
        [&name](const upstream_pool& pool) { return pool.name == name; });
    return found == this->pools.end() ? nullptr : &*found;
}

const upstream_pool* site_bundle::engine_pool() const
{
    const auto found = std::find_if(this->pools.begin(), this->pools.end(),
        [](const upstream_pool& pool) { return pool.engine.has_value(); });
    return found == this->pools.end() ? nullptr : &*found;
}

} // namespace sailtiller
