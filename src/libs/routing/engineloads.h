// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <unordered_map>

namespace sailtiller {

/// What this host knows of the work at one upstream.
struct engine_load
{
    double token_layers = 0; ///< cache that this host's requests hold there: tokens times layers
    unsigned requests = 0; ///< of this host, that pass through it
    double remote_token_layers = 0; ///< of the other hosts, as they told lately
    unsigned remote_requests = 0;
    time_point failed_until{}; ///< it failed this host's requests; nothing new goes there before this
    time_point reported_until{}; ///< the same on the word of another host
    time_point avoided_until{}; ///< it refused a request, for a reason that may pass soon
    time_point unwilling_until{}; ///< it refused this host's requests though it had room
    unsigned unwilling_count = 0; ///< how often, since it last took one
    unsigned failure_count = 0; ///< requests of this host that it ran and failed, since it last served one
    double pace = 1; ///< how many times slower than its card it has been seen to be

    /// True while it is believed to be dead or out of reach, by this host or another one.
    [[nodiscard]] bool has_failed(time_point now) const;
    /// True if new requests may go there.
    [[nodiscard]] bool accepts_requests(time_point now) const;
};

/// What other hosts' requests hold at an upstream.
struct upstream_usage
{
    double token_layers = 0;
    unsigned requests = 0;
};

/// The work at the upstreams: this host's own counts, and what the other hosts tell.
class engine_loads
{
public:
    /// What is known of one; of an unknown one, that nothing is there.
    [[nodiscard]] const engine_load& of(const upstream_id& id) const;
    /// One request more passes through it, with so many tokens times layers.
    void add(const upstream_id& id, double token_layers);
    /// One request less; `token_layers` as in `add`.
    void subtract(const upstream_id& id, double token_layers);
    /// It failed this host's requests: keeps new work away until `until`; a later time that stands already is
    /// kept. Other hosts are told.
    void suspend(const upstream_id& id, time_point until);
    /// It refused a request, for a reason that may pass soon; other hosts aren't told.
    void avoid(const upstream_id& id, time_point until);
    /// It refused a request though it had room: it drains, or gives layers up, and its entry doesn't say so
    /// yet. Nothing new goes there for `pause`, for twice as long at each further refusal, up to `longest`;
    /// other hosts are told.
    void note_unwilling(const upstream_id& id, time_point now, duration pause, duration longest);
    /// It ran a request and failed. From the second time in a row on it is passed by as in `note_unwilling`:
    /// the first may be the request's own fault.
    void note_failure(const upstream_id& id, time_point now, duration pause, duration longest);
    /// It serves a request.
    void note_served(const upstream_id& id);
    /// The same as `suspend` on the word of another host; it isn't passed on.
    void suspend_on_report(const upstream_id& id, time_point until);
    /// What the other hosts hold there. Those that are not named hold nothing.
    void set_remote_usage(const std::map<upstream_id, upstream_usage>& shares);
    /// Hosts of whose work nothing is known yet; each is taken to do as much as this one.
    void set_unreported_hosts(std::size_t count) { this->unreported_hosts = static_cast<double>(count); }
    /// What all hosts' requests hold at an upstream: tokens times layers.
    [[nodiscard]] double total_token_layers(const engine_load& load) const;
    /// Requests of all hosts that pass through an upstream.
    [[nodiscard]] double total_requests(const engine_load& load) const;
    /// It is this many times slower than its card should be.
    void set_pace(const upstream_id& id, double pace);
    /// It has answered, so it is there.
    void resume(const upstream_id& id);
    /// Forgets an upstream that is gone and has no work of this host's.
    void forget_idle(const std::function<bool(const upstream_id&)>& is_known);

    [[nodiscard]] const std::unordered_map<upstream_id, engine_load>& all() const { return this->loads; }

private:
    std::unordered_map<upstream_id, engine_load> loads;
    double unreported_hosts = 0;
};

} // namespace sailtiller
