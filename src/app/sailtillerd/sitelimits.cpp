// SPDX-License-Identifier: Apache-2.0
#include "sitelimits.h"

#include <runtime/eventlog.h>

namespace sailtiller {

site_limits::site_limits(event_loop& loop, site_peers& peers, const host_id& self,
    std::function<bool()> is_leaving, std::function<void(event_type)> on_belief)
    : loop(loop)
    , peers(peers)
    , is_leaving(std::move(is_leaving))
    , on_belief(std::move(on_belief))
    , limits({}, [this](const limit_statement& statement) { this->note_change(statement); })
    , home(this->limits)
    , holder(self, this->limits, this->make_hooks())
{
}

void site_limits::start()
{
    this->holder.note_start(this->loop.now());
}

limit_client_hooks site_limits::make_hooks()
{
    limit_client_hooks hooks;
    hooks.timers = this->loop.hooks();
    hooks.hosts = [this] { return this->peers.hosts().present_ids(this->loop.now()); };
    hooks.ask = [this](const host_id& home, const limit_query& question,
                    const std::function<void(const limit_grant&)>& on_grant,
                    const std::function<void()>& on_failure) {
        if (home == question.holder) {
            on_grant(this->answer(question));
            return;
        }
        const known_host* peer = this->peers.hosts().find(home);
        if (peer == nullptr) {
            on_failure();
            return;
        }
        this->peers.ask_limit(*peer, question, on_grant, on_failure);
    };
    return hooks;
}

limit_grant site_limits::answer(const limit_query& question)
{
    const time_point now = this->loop.now();
    return this->home.answer(question, this->holder.uptime(now), this->is_leaving(), now);
}

void site_limits::note_change(const limit_statement& statement) const
{
    const std::optional<double>& rate = statement.requests_per_second;
    const event_type event = rate ? event_type::upstream_limited : event_type::upstream_limit_ended;
    this->on_belief(event);
    log_event(log_level::info, event,
        {{"peer", statement.upstream.value()},
            {"detail", rate ? std::to_string(*rate) + " requests a second" : std::string()}});
}

void site_limits::fill_report(peer_report& report) const
{
    report.limits = this->limits.list_updates(this->loop.now());
}

void site_limits::take_report(const peer_report& report)
{
    for (const limit_statement& statement : report.limits) {
        this->limits.take(statement, this->loop.now());
    }
}

void site_limits::tidy(const std::function<bool(const upstream_id&)>& is_known)
{
    const time_point now = this->loop.now();
    this->limits.forget(is_known, now);
    this->home.forget_idle(now);
    this->holder.tidy();
}

} // namespace sailtiller
