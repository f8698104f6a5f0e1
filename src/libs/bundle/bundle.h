// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>
#include <base/json.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sailtiller {

/// The newest bundle format that this program reads; a higher one is refused whole.
constexpr std::uint32_t newest_bundle_format = 1;

/// How a chain of upstreams is chosen for a request.
enum class policy_kind {
    round_robin, ///< each stage's holders in turn; the baseline for comparisons
    least_in_flight, ///< the less busy of two holders drawn at random for each stage
    least_time ///< the chain with the least expected time over step times, queues and links
};

/// A named way of choosing chains.
struct policy
{
    policy_id name;
    policy_kind kind = policy_kind::least_time;
};

/// What one client account may use at once and for each second, over the whole fleet.
struct account_limits
{
    std::uint32_t streams = 0; ///< requests in flight at once; 0 means no limit
    double requests_per_second = 0.0; ///< 0 means no limit
};

/// A customer of the operators. Keys stand here only as SHA-256 digests.
struct client_account
{
    client_account_id name;
    class_id service_class; ///< label of the metrics and of shedding
    std::int32_t priority = 0; ///< passed to the engines; a higher one goes first
    std::vector<std::string> key_digests; ///< "sha256:" and 64 hexadecimal digits each
    account_limits limits;
    std::optional<policy_id> chosen_policy; ///< instead of the bundle's default policy
};

/// Says that an upstream holds a range of a model's layers.
struct stage_holder
{
    upstream_id holder;
    layer_range layers;
    duration step_time{}; ///< expected time of one decode step on this holder
};

/// A language model that is served by chains of stage holders.
struct model
{
    model_id name;
    std::uint32_t layers = 0;
    std::uint32_t longest_answer = 0; ///< tokens; a request that asks for more is refused
    std::vector<stage_holder> holders;
};

/// A model engine or plain service process that requests are sent to.
struct upstream
{
    upstream_id name;
    endpoint address;
    data_hall_id data_hall;
    std::uint32_t streams = 0; ///< batch room: streams at once that the upstream runs without queueing
    duration link_delay{}; ///< expected one-way delay from the entry hosts
};

/// A plain HTTP service behind sailtiller.
struct plain_service
{
    service_id name;
    std::string path_prefix; ///< starts and ends with "/"
    std::vector<upstream_id> upstreams;
    std::vector<std::string> repeatable_methods; ///< a call by another method runs at most once
};

/// Time limits of every request.
struct time_limits
{
    duration first_answer{}; ///< an attempt without its first answer by then is given up
    duration step{}; ///< a later step without an answer by then is given up
    duration request{}; ///< the whole request, over all its attempts
};

/// Bounds on repeated attempts.
struct retry_limits
{
    std::uint32_t attempts = 3; ///< for each request, the first one included
    double budget_ratio = 0.2; ///< retries allowed for each first attempt, over the whole host
};

/// One whole configuration of a deployment: it takes force, and is rolled back, as a unit.
struct bundle
{
    std::uint32_t format = newest_bundle_format;
    std::string name;
    std::uint32_t required_sign_offs = 1;
    time_limits times;
    retry_limits retries;
    policy_id default_policy;
    std::vector<policy> policies;
    std::vector<client_account> accounts;
    std::vector<model> models;
    std::vector<upstream> upstreams;
    std::vector<plain_service> services;
};

/// The bundle as JSON in the published schema (docs/operators/bundles.md); the reader's inverse.
json to_json(const bundle& content);

/// Names of policy kinds in the bundle's text.
[[nodiscard]] std::string to_text(policy_kind kind);
[[nodiscard]] std::optional<policy_kind> policy_kind_from_text(const std::string& text);

} // namespace sailtiller
