// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/httpstatus.h>
#include <relay/relayclient.h>
#include <runtime/eventlog.h>
#include <runtime/httpcall.h>

#include <algorithm>
#include <limits>

namespace sailtiller {

std::string_view name_of(relay_loss cause)
{
    switch (cause) {
    case relay_loss::not_accepted:
        return "not_accepted";
    case relay_loss::silent:
        return "silent";
    case relay_loss::ended:
        break;
    }
    return "ended";
}

/// One request on its way, over one host after the other until one accepts it.
class relay_client::relayed_call : public std::enable_shared_from_this<relayed_call>
{
public:
    relayed_call(relay_client& owner, std::uint64_t key, upstream_group group, relayed_request request,
        http_call_handlers handlers)
        : owner(owner)
        , key(key)
        , group(std::move(group))
        , request(std::move(request))
        , handlers(std::move(handlers))
    {
    }

    void start()
    {
        const std::optional<relay_candidate> next = this->owner.choose(this->group, this->tried);
        const relay_client_settings& limits = this->owner.settings;
        const bool is_spent = this->tried.all.size() - this->tried.without_way >= limits.max_hosts
            || this->tried.without_way >= limits.max_hosts_without_way
            || this->failed_upstream_connections >= limits.max_upstream_connections;
        if (!next || is_spent) {
            this->owner.loop.post([self = this->shared_from_this()] {
                self->end(call_ending::not_connected,
                    self->last_failure.empty() ? "no host reaches the upstream" : self->last_failure);
            });
            return;
        }
        this->host = next->id;
        this->address = next->address;
        this->data_hall = next->data_hall;
        this->tried.all.insert(next->id);
        this->refusal.reset();
        this->is_accepted = false;
        this->is_held_back = false;
        this->has_keep_alive = false;
        this->has_no_way = false;
        this->reader = {};
        this->upstream_end.reset();
        this->accept_timer = this->owner.loop.schedule_after(this->owner.settings.accept_limit,
            [self = this->shared_from_this()] { self->miss_acceptance(); });
        http_call_options options;
        options.connect_limit = this->owner.settings.connect_limit;
        options.pool = this->request.may_repeat ? &this->owner.connections : nullptr;
        this->call = http_call::start(this->owner.loop, next->address, encode_relay_request(this->request),
            options, this->make_handlers());
        this->log(event_type::relayed,
            "to " + this->request.target.address.value() + " by way of " + next->id.value());
    }

    void cancel()
    {
        this->is_done = true;
        this->release();
    }

    /// Ends the call, which its host may have passed on before it was lost.
    void lose_host(relay_loss cause, const std::string& reason)
    {
        if (this->is_done) {
            return;
        }
        this->owner.hooks.on_lost(cause);
        // Connections that are kept to the host may be as dead, and a request sent over one may have run.
        this->owner.connections.drop_idle(this->address, this->owner.loop.now());
        this->end(call_ending::relay_lost, reason);
    }

    [[nodiscard]] const host_id& current_host() const { return this->host; }

    /// Returns true if the host has accepted the request and shows no sign of life any more.
    [[nodiscard]] bool is_silent() const
    {
        if (!this->is_accepted) {
            return false; // the limit for its acceptance holds
        }
        return this->has_keep_alive ? this->owner.watched - this->heard >= this->owner.settings.silence_limit
                                    : !this->owner.hooks.is_up(this->host);
    }

private:
    http_call_handlers make_handlers()
    {
        const auto self = this->shared_from_this();
        http_call_handlers to_host;
        to_host.may_send = [self] {
            self->is_held_back = self->handlers.may_send && !self->handlers.may_send();
            return !self->is_held_back;
        };
        if (this->handlers.may_resend) {
            to_host.may_resend = [self] {
                self->was_resent = self->handlers.may_resend();
                return self->was_resent;
            };
        }
        to_host.on_head = [self](int status, const http_headers& headers) {
            self->take_head_of_host(status, headers);
        };
        to_host.on_body = [self](std::string_view bytes) { self->take_body(bytes); };
        to_host.on_end = [self](call_ending ending, const std::string& reason) {
            self->take_end(ending, reason);
        };
        return to_host;
    }

    void take_head_of_host(int status, const http_headers& headers)
    {
        this->owner.loop.cancel(this->accept_timer);
        this->is_accepted = status == http_status::ok;
        this->has_keep_alive = announces_keep_alive(headers);
        this->has_no_way = !this->is_accepted && tells_no_way(headers);
        this->heard = this->owner.watched;
        if (!this->is_accepted) {
            this->refusal = "status " + std::to_string(status) + " ";
        }
    }

    void take_body(std::string_view bytes)
    {
        if (this->is_done) {
            return;
        }
        this->heard = this->owner.watched;
        if (this->refusal) {
            this->take_refusal(bytes);
            return;
        }
        try {
            const relay_answer_part part = this->reader.take(bytes);
            if (part.head) {
                this->take_head(*part.head);
            }
            if (!part.body.empty() && !this->is_done && this->handlers.on_body) {
                this->handlers.on_body(part.body);
            }
            if (part.end) {
                this->upstream_end = part.end;
            }
        } catch (const error& malformed) {
            this->lose_malformed_host(malformed);
        }
    }

    void take_refusal(std::string_view bytes)
    {
        *this->refusal += bytes;
        if (this->refusal->size() > this->owner.settings.max_refusal_bytes) {
            this->lose_malformed_host(error({"read refusal", this->host.value()}, "it is too long"));
        }
    }

    void lose_malformed_host(const error& malformed)
    {
        log_event(log_level::warning, event_type::peer_answer_malformed,
            {{"step", malformed.step()}, {"peer", this->host.value()}, {"reason", malformed.reason()}});
        this->lose_host(relay_loss::ended, "malformed answer of " + this->host.value());
    }

    void take_head(const relay_head& head)
    {
        if (head.failure) {
            this->refusal = *head.failure;
        } else if (this->handlers.on_head) {
            this->handlers.on_head(head.status, head.headers);
        }
    }

    void take_end(call_ending ending, const std::string& reason)
    {
        if (this->is_done) {
            return;
        }
        this->owner.loop.cancel(this->accept_timer);
        const std::string from = this->host.value() + ": ";
        if (this->upstream_end) {
            this->end(this->upstream_end->is_whole ? call_ending::whole : call_ending::broken,
                this->upstream_end->is_whole ? std::string() : from + this->upstream_end->reason);
        } else if (this->was_resent) {
            // The first copy may have been passed on, whatever became of the second.
            this->lose_host(relay_loss::ended, from + this->refusal.value_or(reason));
        } else if (this->is_held_back) {
            this->end(call_ending::not_connected, reason);
        } else if (ending == call_ending::not_connected) {
            this->owner.avoid(this->host, this->owner.settings.avoid_time);
            this->try_next(from + reason);
        } else if (ending == call_ending::whole && this->refusal) {
            this->failed_upstream_connections += this->is_accepted ? 1 : 0;
            if (this->has_no_way) {
                this->note_no_way();
            }
            this->try_next(from + *this->refusal);
        } else {
            this->owner.avoid(this->host,
                this->is_accepted ? this->owner.settings.pause_after_loss : this->owner.settings.avoid_time);
            this->lose_host(relay_loss::ended, from + (reason.empty() ? "no answer" : reason));
        }
    }

    void note_no_way()
    {
        ++this->tried.without_way;
        this->tried.halls_without_way.insert(this->data_hall);
        this->owner.hooks.on_no_way(this->host, this->group);
    }

    /// Nothing has reached the upstream, so another host may be asked.
    void try_next(const std::string& failure)
    {
        this->log(event_type::path_failed, "by way of " + failure);
        this->last_failure = failure;
        this->call.reset();
        this->start();
    }

    void miss_acceptance()
    {
        this->owner.avoid(this->host, this->owner.settings.avoid_time);
        if (this->call) {
            this->call->give_up(); // kept connections to the host may be as silent
            this->call.reset();
        }
        this->lose_host(relay_loss::not_accepted, this->host.value() + " did not accept the request in time");
    }

    void release()
    {
        this->owner.loop.cancel(this->accept_timer);
        if (this->call) {
            this->call->cancel();
            this->call.reset();
        }
        this->owner.loop.post([keep = this->shared_from_this()] {}); // may be on the stack
        this->owner.calls.erase(this->key);
    }

    void end(call_ending ending, const std::string& reason)
    {
        if (this->is_done) {
            return;
        }
        this->is_done = true;
        const auto on_end = this->handlers.on_end;
        this->release();
        if (on_end) {
            on_end(ending, reason);
        }
    }

    void log(event_type what, const std::string& detail) const
    {
        this->owner.hooks.log(
            {what, this->request.target.request.value(), this->request.target.id.value(), detail});
    }

    relay_client& owner;
    std::uint64_t key;
    upstream_group group;
    relayed_request request;
    http_call_handlers handlers;
    host_id host; ///< that has the request now
    endpoint address; ///< of that host
    data_hall_id data_hall; ///< of that host
    tried_hosts tried;
    std::string last_failure;
    std::optional<std::string> refusal; ///< why nothing reached the upstream, by the present host
    relay_answer_reader reader;
    std::optional<relay_end> upstream_end; ///< how the upstream's answer ended
    std::shared_ptr<http_call> call;
    timer_id accept_timer = 0;
    std::size_t failed_upstream_connections = 0; ///< of the hosts that accepted the request
    bool is_accepted = false;
    bool has_keep_alive = false; ///< the present host sends keep-alive lines
    bool has_no_way = false; ///< the present host refused as it can't connect to the group
    duration heard{}; ///< watched time at which something last came from the present host
    bool is_held_back = false;
    bool was_resent = false; ///< to the present host, as its kept connection proved to be closed
    bool is_done = false;
};

relay_client::relay_client(event_loop& loop, relay_client_settings settings, relay_client_hooks hooks)
    : loop(loop)
    , settings(settings)
    , hooks(std::move(hooks))
    , connections(loop, {})
{
}

relay_client::~relay_client()
{
    while (!this->calls.empty()) {
        const std::shared_ptr<relayed_call> call = this->calls.begin()->second;
        call->cancel();
    }
    this->loop.cancel(this->check_timer);
}

cancel_call relay_client::send(const upstream_target& target, const upstream_group& group,
    const http_request& request, bool may_repeat, http_call_handlers handlers)
{
    const std::uint64_t key = ++this->last_key;
    const auto call = std::make_shared<relayed_call>(
        *this, key, group, relayed_request{target, may_repeat, true, request}, std::move(handlers));
    this->calls.emplace(key, call);
    call->start();
    if (!this->is_check_scheduled) {
        this->last_check = this->loop.now();
        this->schedule_check();
    }
    return [held = std::weak_ptr<relayed_call>(call)] {
        if (const std::shared_ptr<relayed_call> present = held.lock()) {
            present->cancel();
        }
    };
}

bool relay_client::has_candidate(const upstream_group& group) const
{
    return this->choose(group, {}).has_value();
}

std::optional<relay_candidate> relay_client::choose(
    const upstream_group& group, const tried_hosts& tried) const
{
    const time_point now = this->loop.now();
    std::map<host_id, unsigned> own_calls = this->count_calls();
    std::optional<relay_candidate> best;
    std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
    for (relay_candidate& candidate : this->hooks.list_candidates(group)) {
        const auto avoided = this->avoided_until.find(candidate.id);
        const bool is_avoided = avoided != this->avoided_until.end() && avoided->second > now;
        if (is_avoided || tried.all.contains(candidate.id)) {
            continue;
        }
        constexpr std::uint64_t tie_values = 1000; // spreads hosts of equal cost
        const std::uint64_t calls = std::max(candidate.relayed_calls, own_calls[candidate.id])
            + (candidate.is_same_hall ? 0 : this->settings.other_hall_calls)
            + (tried.halls_without_way.contains(candidate.data_hall) ? this->settings.doubtful_hall_calls
                                                                     : 0);
        const std::uint64_t cost = calls * tie_values + this->hooks.random() % tie_values;
        if (cost < least) {
            least = cost;
            best = std::move(candidate);
        }
    }
    return best;
}

void relay_client::avoid(const host_id& host, duration time)
{
    time_point& until = this->avoided_until[host];
    until = std::max(until, this->loop.now() + time);
}

std::map<host_id, unsigned> relay_client::count_calls() const
{
    std::map<host_id, unsigned> counts;
    for (const auto& [key, call] : this->calls) {
        ++counts[call->current_host()];
    }
    return counts;
}

void relay_client::schedule_check()
{
    this->is_check_scheduled = true;
    this->check_timer =
        this->loop.schedule_after(this->settings.check_interval, [this] { this->end_silent_calls(); });
}

void relay_client::end_silent_calls()
{
    this->is_check_scheduled = false;
    if (!this->calls.empty()) {
        this->schedule_check();
    }
    const time_point now = this->loop.now();
    this->watched += std::min<duration>(now - this->last_check, 2 * this->settings.check_interval);
    this->last_check = now;
    std::vector<std::shared_ptr<relayed_call>> silent;
    for (const auto& [key, call] : this->calls) {
        if (call->is_silent()) {
            silent.push_back(call);
        }
    }
    for (const std::shared_ptr<relayed_call>& call : silent) {
        this->avoid(call->current_host(), this->settings.avoid_time);
        call->lose_host(relay_loss::silent, call->current_host().value() + " has fallen silent");
    }
}

} // namespace sailtiller
