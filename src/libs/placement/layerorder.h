// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>
#include <directory/upstreamdirectory.h>

#include <optional>

namespace sailtiller {

/// Increases with each change of the order issuer. An engine refuses an order with a lower token than one
/// that it has seen.
using fencing_token = strong_type<struct fencing_token_tag, std::uint64_t>;

/// Orders an engine to hold these layers.
struct layer_order
{
    upstream_id id;
    endpoint address;
    layer_span span;
    fencing_token token;
    /// The engine refuses the order if it has begun a different number of orders, so a resent order is begun
    /// once.
    std::optional<std::uint64_t> expected_orders;
    bool cuts = false; ///< cut requests that use released layers instead of waiting for their end
};

/// Outcome of an order.
enum class order_result {
    begun, ///< the engine has begun the order, or holds the layers already
    unfit, ///< the engine carries out another order, or has begun one unknown to this host
    fenced, ///< another host is the order issuer now
    gone, ///< the address belongs to another upstream now
    refused, ///< the engine does not support the order
    unanswered ///< the order may be carried out, possibly later
};

/// Name of the result in the event log.
std::string_view name_of(order_result result);

/// Content of an answer to a probe.
struct engine_report
{
    double pace = 1; ///< factor by which the engine currently runs slower than its card
    std::optional<layer_span> held; ///< layers with loaded weights; empty if not reported
    std::optional<start_moment> born; ///< start of the process that answered; empty if not reported
    bool is_leaving = false; ///< the upstream will end shortly
    bool is_other_upstream = false; ///< another upstream answered at the address
};

/// Wire format of orders and probes.
struct order_codec
{
    std::function<http_request(const layer_order&)> encode_order;
    std::function<order_result(int status)> decode_result;
    /// Encodes a small request that any engine or service answers at once. An upstream other than the
    /// requested one says so in its report.
    std::function<http_request(const endpoint&, const upstream_id&)> encode_probe;
    /// Decodes an answer to a probe; missing fields get their defaults. Throws `error` if it is unreadable.
    std::function<engine_report(const http_response&)> decode_report;
};

} // namespace sailtiller
