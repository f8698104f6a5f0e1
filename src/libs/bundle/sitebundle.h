// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailtiller {

/// What may be done with a request again.
enum class route_kind {
    repeatable, ///< may run more than once
    single_run, ///< runs at most once
    stream ///< answered by server-sent events
};

/// A share of a route's requests that goes to one service.
struct route_target
{
    service_id service;
    double weight = 1.0; ///< against the weights of the other targets
};

/// How requests of one virtual host and path prefix are served.
struct service_route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::single_run;
    duration time_limit{}; ///< the longest that a request may be held
    duration latency_objective{}; ///< to the whole answer, or to a stream's first event
    duration longest_pause{}; ///< between two events of a stream that counts as in time
    int priority = 0; ///< 0 is the most urgent
    std::vector<route_target> targets;
    unsigned most_attempts = 1; ///< upstreams that may run one request of a caller
    bool is_public = false; ///< needs no key
    bool is_resumable = false; ///< another upstream may go on with a stream after its last event

    [[nodiscard]] bool may_repeat() const
    {
        return this->kind == route_kind::repeatable
            || (this->kind == route_kind::stream && this->is_resumable);
    }
};

/// Milliseconds from an engine to the next in its hall, for each token; measured links are of this order.
constexpr double engine_hop_ms = 0.3;

/// A pipe between halls that is used further than this takes no new requests; beyond it, waiting times grow
/// without bound for everybody.
constexpr double most_pipe_share = 0.7;

/// An accelerator of the engines.
struct card_kind
{
    double memory_mb = 0;
    double step_factor = 1; ///< multiplies the profile's time of a step
    double prompt_factor = 1; ///< multiplies the profile's time to read a prompt
};

/// What an engine costs in time and memory; the base of every plan and prediction.
struct engine_profile
{
    model_id model;
    unsigned layers = 0; ///< of the whole model
    double layer_mb = 0;
    double token_bytes = 0; ///< cache memory of one token over all layers
    double step_ms = 0; ///< one token over all layers
    double step_ms_per_request = 0; ///< added for each request of the batch
    double context_ms_per_thousand = 0; ///< added for each 1,000 tokens of context
    double prompt_tokens_per_s = 0;
    double activation_bytes = 0; ///< handed from part to part for each token
    double hall_pipe_mbps = 0; ///< between two halls, shared by all
    double load_seconds = 0; ///< of all layers by one engine
    unsigned loads_at_once = 0; ///< that run at full speed; 0 is no bound
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    unsigned request_slots = 0;
    std::map<std::string, card_kind> kinds;

    /// Cache memory in MB of one token in one layer.
    [[nodiscard]] double token_layer_mb() const;
    /// Bits that the activations of so many tokens move through a pipe between halls.
    [[nodiscard]] double crossing_bits(double tokens) const;
    /// Rate of the pipe between two halls; 0 is no bound.
    [[nodiscard]] double pipe_bits_per_s() const;
    /// The kind of card with that name; null if the profile doesn't know it.
    [[nodiscard]] const card_kind* find_card(const std::string& card) const;
    /// The same for an engine that holds layers up to `layers_end`; null also if the model has fewer. Such an
    /// entry was written for another model, or by something else, and isn't used.
    [[nodiscard]] const card_kind* find_card(const std::string& card, unsigned layers_end) const;
};

/// Upstreams of one service.
struct upstream_pool
{
    service_id name;
    std::string health_path;
    unsigned most_connections = 0; ///< to one upstream, over all callers
    std::optional<engine_profile> engine; ///< present if the pool runs a model by layers
};

/// A caller's account as this bundle knows it.
struct account_entry
{
    client_account_id name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
};

/// Limits on what callers may send and how long they may rest.
struct caller_limits
{
    std::size_t most_header_bytes = 16384;
    std::size_t most_body_bytes = 4194304;
    duration header_time = std::chrono::seconds(3);
    duration idle_time = std::chrono::seconds(15);
};

/// Version of a site's bundle; it rises in uneven steps.
using bundle_version = strong_type<struct bundle_version_tag, std::uint64_t>;

/// What is in force for the routes, pools and accounts of one site, as one unit.
class site_bundle
{
public:
    bundle_version version;
    std::vector<service_route> routes;
    std::vector<upstream_pool> pools;
    /// Accounts whose keys let callers in. Without a list no route requires a key; an empty list lets none
    /// in.
    std::optional<std::vector<account_entry>> accounts;
    /// Parts of the list of accounts that can't be read. The keys that they may have named let nobody in.
    std::vector<std::string> account_faults;
    caller_limits limits;

    /// Builds the look-ups below; called once, after the fields are set.
    void build_index();
    /// The route of that host whose prefix begins the path and is longest.
    [[nodiscard]] const service_route* find_route(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool requires_key() const { return this->accounts.has_value(); }
    /// The account that holds a key.
    [[nodiscard]] const account_entry* find_account(const std::string& key) const;
    [[nodiscard]] const upstream_pool* find_pool(const service_id& name) const;
    /// The pool that runs a model by layers, if there is one.
    [[nodiscard]] const upstream_pool* engine_pool() const;

private:
    void index_accounts();

    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> account_by_key; ///< index in the list of accounts
};

} // namespace sailtiller
