// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "sitepeers.h"

#include <fleet/limitallocator.h>
#include <fleet/limitclient.h>

namespace sailtiller {

/// The limits that upstreams of a site name, on one host: what it knows of them, its part of each, and the
/// limits that it shares out among all hosts.
class site_limits
{
public:
    /// `is_leaving` tells whether this host stops; `on_belief` counts.
    site_limits(event_loop& loop, site_peers& peers, const host_id& self, std::function<bool()> is_leaving,
        std::function<void(event_type)> on_belief);

    /// This process has begun.
    void start();
    [[nodiscard]] limit_client& own_part() { return this->holder; }
    [[nodiscard]] const upstream_limits& records() const { return this->limits; }
    /// Answers another host, or this one.
    limit_grant answer(const limit_query& question);
    void fill_report(peer_report& report) const;
    void take_report(const peer_report& report);
    /// Forgets upstreams that are gone, and what is of no use any more.
    void tidy(const std::function<bool(const upstream_id&)>& is_known);

private:
    limit_client_hooks make_hooks();
    void note_change(const limit_statement& statement) const;

    event_loop& loop;
    site_peers& peers;
    std::function<bool()> is_leaving;
    std::function<void(event_type)> on_belief;
    upstream_limits limits;
    limit_allocator home;
    limit_client holder;
};

} // namespace sailtiller
