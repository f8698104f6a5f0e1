// SPDX-License-Identifier: Apache-2.0
#include "upstreamlink.h"

#include <base/error.h>
#include <platform/wireorder.h>
#include <platform/wirerequest.h>
#include <runtime/eventlog.h>
#include <runtime/httpcall.h>

#include <algorithm>
#include <utility>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// A connection within the site takes a millisecond; a lost opening packet is sent again after a second, so
/// another upstream is tried before that.
constexpr duration connect_limit = milliseconds(200);
/// A connection at rest is kept until its upstream closes it, or for this long. A host sends an upstream a
/// request every second or two, so with 2.5 s one in two was a new connection.
constexpr duration idle_time = milliseconds(15'000);
/// From a probe to the verdict on it: its answer limit, extended four times.
constexpr duration longest_probe_time = milliseconds(600);
/// Time for which an answer over a kept connection shows that requests can still be sent over such ones.
constexpr duration kept_connection_time = milliseconds(1000);
/// Interval between checks of kept connections, and time limit of an answer: a lost one leaves time for the
/// next.
constexpr duration kept_check_interval = milliseconds(400);
constexpr duration kept_check_limit = milliseconds(200);
/// Upstreams of a group whose kept connections are checked at the same time.
constexpr std::size_t max_kept_checks = 3;
/// Without answer by then, an order counts as unanswered and is sent again.
constexpr duration order_answer_limit = milliseconds(800);
/// An answer that comes after the verdict still revives the upstream; beyond this, nothing is waited for.
constexpr duration probe_limit = milliseconds(1000);
/// Largest report of an engine, in answer to a probe: some kilobytes, and a line for each request that stands
/// still.
constexpr std::size_t max_report_bytes = std::size_t{1} << 20U;
/// Largest answer to a change of path or an order: a status, and the address of a stage at most.
constexpr std::size_t max_order_answer_bytes = max_small_answer_bytes;

} // namespace

upstream_link::upstream_link(event_loop& loop, std::optional<endpoint> source, upstream_link_hooks hooks)
    : loop(loop)
    , source(std::move(source))
    , hooks(std::move(hooks))
    , requests(platform::make_request_codec())
    , orders(platform::make_order_codec())
    , connections(loop, {.idle_time = idle_time})
    , reachability({}, this->make_reachability_hooks())
    , relay(loop, {},
          {this->hooks.random, this->hooks.list_candidates, this->hooks.is_host_up, this->hooks.on_no_way,
              this->hooks.on_relay_lost, this->hooks.log})
{
}

upstream_reachability_hooks upstream_link::make_reachability_hooks()
{
    upstream_reachability_hooks item;
    item.timers = this->loop.hooks();
    item.random = this->hooks.random;
    item.list_groups = [this] {
        std::vector<upstream_group> known;
        for (const auto& [group, members] : this->list_groups()) {
            known.push_back(group);
        }
        return known;
    };
    item.list_members = [this](const upstream_group& group) {
        const auto found = this->list_groups().find(group);
        return found == this->groups.end() ? std::vector<upstream_id>() : found->second;
    };
    item.connect = [this](const upstream_id& id, duration limit, const std::function<void(bool)>& on_end) {
        this->check_connection(id, limit, on_end);
    };
    item.on_change = [this](const upstream_group& group, bool is_reachable) {
        this->hooks.on_change(group, is_reachable);
        if (!is_reachable) {
            this->check_kept_connections();
        }
    };
    return item;
}

const upstream_link::group_members& upstream_link::list_groups()
{
    if (this->groups_version != this->hooks.upstreams.change_count()) {
        this->groups.clear();
        for (const auto& [id, entry] : this->hooks.upstreams.entries()) {
            this->groups[{entry.upstream.service, entry.upstream.data_hall}].push_back(id);
        }
        this->groups_version = this->hooks.upstreams.change_count();
    }
    return this->groups;
}

std::optional<upstream_group> upstream_link::find_group(const upstream_id& id) const
{
    const directory_entry* entry = this->hooks.upstreams.find(id);
    return entry == nullptr
        ? std::nullopt
        : std::optional(upstream_group{entry->upstream.service, entry->upstream.data_hall});
}

bool upstream_link::is_reachable(const upstream_group& group) const
{
    return this->reachability.is_reachable(group);
}

std::optional<time_point> upstream_link::unreachable_since(const upstream_id& id) const
{
    const std::optional<upstream_group> group = this->find_group(id);
    return group ? this->reachability.unreachable_since(*group) : std::nullopt;
}

std::vector<upstream_group> upstream_link::unreachable_groups() const
{
    return this->reachability.unreachable_groups();
}

bool upstream_link::connects_to(const service_id& service) const
{
    return this->reachability.is_service_reachable(service);
}

bool upstream_link::has_way_to(const service_id& service, bool may_repeat) const
{
    if (this->connects_to(service) || this->is_relayed(service)) {
        return true;
    }
    return may_repeat
        && std::any_of(this->answered.begin(), this->answered.end(), [this, &service](const auto& item) {
               return item.first.service == service && this->answers_over_kept_connections(item.first);
           });
}

bool upstream_link::answers_over_kept_connections(const upstream_group& group) const
{
    const auto found = this->answered.find(group);
    return found != this->answered.end() && this->loop.now() - found->second < kept_connection_time;
}

bool upstream_link::is_relayed(const service_id& service) const
{
    const std::vector<upstream_group> groups = this->unreachable_groups();
    return std::any_of(groups.begin(), groups.end(), [this, &service](const upstream_group& group) {
        return group.service == service && this->relay.has_candidate(group);
    });
}

probe_evidence upstream_link::judge_silence(const upstream_id& id) const
{
    const std::optional<upstream_group> group = this->find_group(id);
    if (!group) {
        return probe_evidence::of_death;
    }
    const std::optional<time_point> since = this->reachability.unreachable_since(*group);
    if (!since) {
        return this->reachability.is_doubtful(*group) ? probe_evidence::none_yet : probe_evidence::of_death;
    }
    if (this->hooks.list_candidates(*group).empty()) {
        // The others say the same of it, so its upstreams are dead, unless they answer where they can.
        return this->hooks.hears_other_hosts() && !this->answers_over_kept_connections(*group)
            ? probe_evidence::of_death
            : probe_evidence::none_yet;
    }
    const bool was_relayed = this->loop.now() - *since > longest_probe_time;
    return was_relayed ? probe_evidence::of_death : probe_evidence::of_lost_way;
}

bool upstream_link::uses_other_hosts(const upstream_group& group) const
{
    return !this->is_reachable(group) && this->relay.has_candidate(group);
}

upstream_link::connection_observer upstream_link::make_observer(const upstream_id& id, duration limit)
{
    return [this, id, group = this->find_group(id), began = this->loop.now(), limit](bool is_made) {
        this->hooks.on_connection(is_made);
        if (!group) {
            return;
        }
        if (is_made) {
            this->reachability.note_connected(id, *group);
        } else {
            this->reachability.note_failed(id, *group, began, limit);
        }
    };
}

cancel_call upstream_link::send_observed(const upstream_target& target, const http_request& request,
    bool may_repeat, http_call_handlers handlers, connection_observer observer)
{
    http_call_options options;
    options.connect_limit = connect_limit;
    options.pool = may_repeat ? &this->connections : nullptr;
    options.source = this->source;
    options.on_connection = std::move(observer);
    options.on_fault = this->hooks.on_fault;
    const std::shared_ptr<http_call> call =
        http_call::start(this->loop, target.address, request, options, std::move(handlers));
    return [call] { call->cancel(); };
}

cancel_call upstream_link::send_directly(
    const upstream_target& target, const http_request& request, bool may_repeat, http_call_handlers handlers)
{
    return this->send_observed(
        target, request, may_repeat, std::move(handlers), this->make_observer(target.id, connect_limit));
}

cancel_call upstream_link::send(
    const upstream_target& target, const http_request& request, bool may_repeat, http_call_handlers handlers)
{
    const std::optional<upstream_group> group = this->find_group(target.id);
    if (!group) {
        return this->send_directly(target, request, may_repeat, std::move(handlers));
    }
    const auto call = std::make_shared<routed_call>(
        routed_call{target, *group, request, may_repeat, std::move(handlers), nullptr, false});
    const auto cancel = [call] {
        call->is_cancelled = true;
        if (const cancel_call action = std::exchange(call->cancel, nullptr)) {
            action();
        }
    };
    if (this->uses_other_hosts(*group)) {
        this->send_by_other_host(call);
        return cancel;
    }
    const auto was_made = std::make_shared<bool>(false);
    http_call_handlers direct = call->handlers;
    if (!this->is_reachable(*group)) {
        direct.on_head = [this, call](int status, const http_headers& headers) {
            this->answered[call->group] = this->loop.now();
            call->handlers.on_head(status, headers);
        };
    }
    direct.on_end = [this, call, was_made](call_ending ending, const std::string& reason) {
        call->cancel = nullptr; // it keeps the connection's call, whose handlers keep this one
        if (ending == call_ending::not_connected && !*was_made) {
            this->end_without_connection(call, reason);
        } else {
            call->handlers.on_end(ending, reason);
        }
    };
    call->cancel = this->send_observed(target, request, may_repeat, std::move(direct),
        [observer = this->make_observer(target.id, connect_limit), call, was_made](bool is_made) {
            *was_made = is_made;
            if (is_made) {
                call->request = {}; // only a request without a connection goes another way
            }
            observer(is_made);
        });
    return cancel;
}

void upstream_link::end_without_connection(
    const std::shared_ptr<routed_call>& call, const std::string& reason)
{
    this->reachability.when_settled(call->group, [this, call, reason] {
        if (call->is_cancelled) {
            return;
        }
        if (this->uses_other_hosts(call->group)) {
            this->send_by_other_host(call);
        } else {
            call->handlers.on_end(call_ending::not_connected, reason);
        }
    });
}

void upstream_link::send_by_other_host(const std::shared_ptr<routed_call>& call)
{
    call->cancel =
        this->relay.send(call->target, call->group, call->request, call->may_repeat, call->handlers);
}

void upstream_link::check_kept_connections()
{
    const std::vector<upstream_group> groups = this->unreachable_groups();
    if (!groups.empty() && !this->is_kept_check_scheduled) {
        this->is_kept_check_scheduled = true;
        this->loop.schedule_after(kept_check_interval, [this] {
            this->is_kept_check_scheduled = false;
            this->check_kept_connections();
        });
    }
    for (const upstream_group& group : groups) {
        if (!this->connects_to(group.service) && !this->is_relayed(group.service)) {
            this->check_kept_connections_to(group);
        }
    }
}

void upstream_link::check_kept_connections_to(const upstream_group& group)
{
    const auto members = this->list_groups().find(group);
    if (members == this->groups.end()) {
        return;
    }
    std::vector<upstream_target> kept;
    for (const upstream_id& id : members->second) {
        const endpoint& address = this->hooks.upstreams.find(id)->upstream.address;
        if (this->connections.has(address)) {
            kept.push_back({id, address, {}});
        }
    }
    for (std::size_t count = 0; count < max_kept_checks && !kept.empty(); ++count) {
        const auto chosen = kept.begin() + static_cast<std::ptrdiff_t>(this->hooks.random() % kept.size());
        send_whole(this->loop,
            {.target = chosen->address,
                .request = this->orders.encode_probe(chosen->address, chosen->id),
                .limit = kept_check_limit,
                .pool = &this->connections,
                .source = this->source,
                .max_body_bytes = max_report_bytes,
                .on_fault = this->hooks.on_fault},
            [this, group](const whole_call_result& result) {
                if (result.response) {
                    this->answered[group] = this->loop.now();
                }
            });
        kept.erase(chosen);
    }
}

void upstream_link::check_connection(const upstream_id& id, duration limit, const connection_observer& on_end)
{
    const directory_entry* entry = this->hooks.upstreams.find(id);
    if (entry == nullptr) {
        this->loop.post([on_end] { on_end(false); });
        return;
    }
    http_request unsent;
    unsent.method = "GET";
    unsent.path = "/";
    http_call_options options;
    options.connect_limit = limit;
    options.source = this->source;
    options.on_connection = [this, on_end](bool is_made) {
        this->hooks.on_connection(is_made);
        on_end(is_made);
    };
    http_call_handlers handlers;
    handlers.may_send = [] { return false; };
    handlers.on_end = [](call_ending, const std::string&) {};
    http_call::start(this->loop, entry->upstream.address, unsent, options, std::move(handlers));
}

void upstream_link::send_small(const upstream_target& target, const http_request& request,
    const whole_answer_limits& limits, connection_pool* pool,
    const std::function<void(const whole_call_result&)>& on_end)
{
    const std::optional<upstream_group> group = this->find_group(target.id);
    if (!group || !this->uses_other_hosts(*group)) {
        const duration connect_time = std::min(limits.time, connect_limit);
        send_whole(this->loop,
            {target.address, request, limits.time, pool, this->source,
                this->make_observer(target.id, connect_time), connect_time, limits.max_body_bytes,
                limits.on_fault},
            on_end);
        return;
    }
    collect_whole(
        this->loop, limits,
        [this, &target, &group, &request](http_call_handlers handlers) {
            return this->relay.send(target, *group, request, true, std::move(handlers));
        },
        on_end);
}

void upstream_link::send_path_change(
    const path_change& change, const std::function<void(const path_change_answer&)>& on_answer)
{
    this->send_small({change.head, change.address, {}}, this->requests.encode_path_change(change),
        {change.limit, max_order_answer_bytes, this->hooks.on_fault}, &this->connections,
        [this, on_answer](const whole_call_result& result) {
            on_answer(result.response
                    ? this->requests.decode_path_change(*result.response)
                    : path_change_answer{path_change_result::failed, std::nullopt, result.failure});
        });
}

engine_report upstream_link::read_report(const endpoint& target, const http_response& answer) const
{
    try {
        return this->orders.decode_report(answer);
    } catch (const error& malformed) {
        log_event(log_level::warning, event_type::engine_report_unusable,
            {{"step", malformed.step()}, {"peer", target.value()}, {"reason", malformed.reason()}});
        return {};
    }
}

void upstream_link::probe(const upstream_target& target, duration second_after,
    const std::function<void(const std::optional<engine_report>&)>& on_answer)
{
    const auto race = std::make_shared<probe_race>();
    race->on_answer = on_answer;
    this->send_probe(target, probe_limit, &this->connections, race);
    // One lost packet must not condemn an upstream, so a second connection is tried besides.
    this->loop.schedule_after(second_after, [this, target, second_after, race] {
        if (race->on_answer) {
            this->send_probe(target, probe_limit - second_after, nullptr, race);
        }
    });
}

void upstream_link::send_probe(const upstream_target& target, duration limit, connection_pool* pool,
    const std::shared_ptr<probe_race>& race)
{
    this->send_small(target, this->orders.encode_probe(target.address, target.id),
        {limit, max_report_bytes, this->hooks.on_fault}, pool,
        [this, target, race](const whole_call_result& result) {
            const std::optional<http_response>& answer = result.response;
            --race->left;
            const bool is_over = answer || race->left == 0;
            if (!is_over || !race->on_answer) {
                return;
            }
            const auto on_end = std::move(race->on_answer);
            race->on_answer = nullptr;
            on_end(answer ? std::optional(this->read_report(target.address, *answer)) : std::nullopt);
        });
}

void upstream_link::send_order(const layer_order& order, const std::function<void(order_result)>& on_result)
{
    // Not by way of another host: the duty to give orders passes to a host that reaches the engines.
    send_whole(this->loop,
        {order.address, this->orders.encode_order(order), order_answer_limit, nullptr, this->source,
            this->make_observer(order.id, order_answer_limit), std::nullopt, max_order_answer_bytes,
            this->hooks.on_fault},
        [this, on_result](const whole_call_result& result) {
            on_result(result.response ? this->orders.decode_result(result.response->status)
                                      : order_result::unanswered);
        });
}

} // namespace sailtiller
