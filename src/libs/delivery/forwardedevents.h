// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <delivery/eventsplitter.h>
#include <delivery/streamtiming.h>

namespace sailtiller {

/// Events of one stream over all its calls: splits the answer bytes into complete events, each of which is
/// forwarded to the caller once.
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

    /// Appends bytes received over this path and returns the events completed by them, which count as
    /// forwarded.
    std::string take(std::string_view bytes, const layer_path& path);
    /// Why the bytes that follow the forwarded events of the current answer are none.
    [[nodiscard]] std::optional<answer_fault> fault() const;
    /// Discards the incomplete event of the current answer; the next answer repeats it from its start.
    void drop_partial_event();
    /// Returns true if the current answer's bytes end within an event.
    [[nodiscard]] bool has_partial_event() const { return this->splitter.has_partial_event(); }
    /// Id of the last event forwarded to the caller.
    [[nodiscard]] const std::optional<event_id>& last() const { return this->last_event; }
    /// Returns false if the last event that carried data has no usable id: a resumed stream would repeat it.
    [[nodiscard]] bool is_resumable() const { return this->resumable; }
    [[nodiscard]] const stream_timing& pace() const { return this->timing; }

private:
    void note_id(const stream_event& event);
    void measure() const;

    delivery_context& context;
    const delivery_order& order;
    event_splitter splitter;
    std::optional<time_point> partial_since; ///< first bytes of the incomplete event
    stream_timing timing;
    std::optional<event_id> last_event;
    bool resumable = true;
};

} // namespace sailtiller
