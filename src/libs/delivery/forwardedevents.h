// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <delivery/eventsplitter.h>
#include <delivery/streamtiming.h>

namespace sailtiller {

/// The events of one stream, over all the calls that bring them: cut from the bytes of its answers, and given
/// whole, each once, to be passed on to the caller.
class forwarded_events
{
public:
    forwarded_events(delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
        , timing(order.arrived)
        , last_event(order.request.last_event)
    {
    }

    /// Takes bytes that came over this path, and gives the events that are now whole; they count as passed
    /// on.
    std::string take(std::string_view bytes, const layer_path& path);
    /// Forgets the event that the present answer left unfinished; another answer gives it whole.
    void drop_partial_event() { this->splitter.clear(); }
    /// True if the present answer's bytes end within an event.
    [[nodiscard]] bool has_partial_event() const { return this->splitter.has_partial_event(); }
    /// The caller has everything up to this one.
    [[nodiscard]] const std::optional<std::uint64_t>& last() const { return this->last_event; }
    [[nodiscard]] const stream_timing& pace() const { return this->timing; }

private:
    void measure() const;

    delivery_context& context;
    const delivery_order& order;
    event_splitter splitter;
    stream_timing timing;
    std::optional<std::uint64_t> last_event;
};

} // namespace sailtiller
