// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Applies the pauses and request limits that upstreams have set to one order.
class upstream_gate
{
public:
    using candidate_test = std::function<bool(const discovered_upstream&)>;

    upstream_gate(const delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    /// Returns true if no pause or limit of any upstream applies.
    [[nodiscard]] bool is_open() const;
    /// Returns true if a request may be sent to the upstream now. Requests a share of the upstream's limit if
    /// only that prevents it.
    [[nodiscard]] bool may_send(const upstream_id& id) const;
    /// Takes one request from the upstream's limit; returns false if none may be sent.
    [[nodiscard]] bool take(const upstream_id& id) const;
    /// Returns the retry-after time if no candidate can take the request for as long as the order is held.
    /// Empty if one may take it earlier, or if there is no candidate.
    [[nodiscard]] std::optional<duration> retry_after_if_closed(
        const candidate_test& is_candidate, const std::set<upstream_id>& avoided) const;

private:
    /// Returns true if nothing may be sent to the upstream for as long as the order is held.
    [[nodiscard]] bool is_closed(const upstream_id& id) const;

    const delivery_context& context;
    const delivery_order& order;
};

} // namespace sailtiller
