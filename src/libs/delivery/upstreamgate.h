// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// What upstreams have told of the requests that they want, a pause or a limit of requests a second, as it
/// bears on one order.
class upstream_gate
{
public:
    using candidate_test = std::function<bool(const discovered_upstream&)>;

    upstream_gate(const delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    /// True if nothing that upstreams have told keeps requests from any of them.
    [[nodiscard]] bool is_open() const;
    /// True if a request may go to the upstream now. Where only its limit is in the way, a part of that is
    /// asked for.
    [[nodiscard]] bool may_send(const upstream_id& id) const;
    /// A request goes to the upstream now. False if it may not.
    [[nodiscard]] bool take(const upstream_id& id) const;
    /// If it is certain that none of the candidates is sent the request for as long as the order is held:
    /// after what time its caller should come back. Nothing if one may take it before, or there is none.
    [[nodiscard]] std::optional<duration> retry_after_if_closed(
        const candidate_test& is_candidate, const std::set<upstream_id>& avoided) const;

private:
    /// True if nothing may go there for as long as the order is held.
    [[nodiscard]] bool is_closed(const upstream_id& id) const;

    const delivery_context& context;
    const delivery_order& order;
};

} // namespace sailtiller
