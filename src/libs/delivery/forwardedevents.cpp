// SPDX-License-Identifier: Apache-2.0
#include <delivery/forwardedevents.h>

namespace sailtiller {

std::string forwarded_events::take(std::string_view bytes, const layer_path& path)
{
    const std::vector<stream_event> whole = this->splitter.take(bytes);
    if (whole.empty()) {
        return {};
    }
    std::string text;
    for (const stream_event& event : whole) {
        text += event.text;
        this->last_event = event.id ? event.id : this->last_event;
    }
    this->measure();
    this->timing.record_forwarded(whole.size(), this->context.timers.now(), path);
    return text;
}

void forwarded_events::measure() const
{
    if (this->timing.event_count() == 0) {
        measure_since_arrival(this->context, this->order, request_moment::first_event);
        return;
    }
    if (this->context.measure) {
        const duration gap = this->context.timers.now() - this->timing.last_event_at();
        this->context.measure(this->order, request_moment::next_event, gap);
    }
}

} // namespace sailtiller
