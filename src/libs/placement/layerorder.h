// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>
#include <directory/upstreamdirectory.h>

#include <optional>

namespace sailtiller {

/// Rises with each change of who gives orders; an engine refuses an order with a lower one than it has seen.
using fencing_token = strong_type<struct fencing_token_tag, std::uint64_t>;

/// Tells an engine to hold these layers from now on.
struct layer_order
{
    upstream_id id;
    endpoint address;
    layer_span span;
    fencing_token token;
    /// The engine refuses the order if it has begun another number of orders; so a repeat is begun once.
    std::optional<std::uint64_t> expected_orders;
    bool cuts = false; ///< requests that pass through layers given up are cut, rather than waited for
};

/// What came of an order.
enum class order_result {
    begun, ///< the engine has begun, or holds the layers already
    unfit, ///< the engine is at another order, or has begun one that this host does not know of
    fenced, ///< another host gives the orders now
    gone, ///< another upstream has that address
    refused, ///< the engine does not know such an order
    unanswered ///< it may be carried out, also later
};

/// As it stands in the log.
std::string_view name_of(order_result result);

/// What an engine tells of itself when it is probed.
struct engine_report
{
    double pace = 1; ///< how many times slower than its card it runs at present
    std::optional<layer_span> held; ///< layers whose weights are loaded; nothing if the report doesn't say
    std::optional<start_moment> born; ///< of the start that answered; nothing if the report doesn't say
    bool is_leaving = false; ///< the upstream says that it ends before long
    bool is_other_upstream = false; ///< the upstream that was asked for doesn't stand at that address
};

/// How orders look on the wire.
struct order_codec
{
    std::function<http_request(const layer_order&)> encode_order;
    std::function<order_result(int status)> decode_result;
    /// A small request that any engine or service answers at once, and another than the one asked for with a
    /// report that says so.
    std::function<http_request(const endpoint&, const upstream_id&)> encode_probe;
    /// What an answer to a probe tells; what is missing in it counts as usual. Throws `error` if it is
    /// unreadable.
    std::function<engine_report(const http_response&)> decode_report;
};

} // namespace sailtiller
