// SPDX-License-Identifier: Apache-2.0
#include <delivery/forwardedevents.h>

namespace sailtiller {

namespace {

/// From the first bytes of an event to its last, if bytes go on coming. An upstream writes an event at once,
/// so this is for packets that are lost on the way.
constexpr duration max_event_time = std::chrono::milliseconds(2500);

} // namespace

std::string forwarded_events::take(std::string_view bytes, const layer_path& path)
{
    const std::vector<stream_event> whole = this->splitter.take(bytes);
    if (!this->splitter.has_partial_event()) {
        this->partial_since.reset();
    } else if (!whole.empty() || !this->partial_since) {
        this->partial_since = this->context.timers.now();
    }
    if (whole.empty()) {
        return {};
    }
    std::string text;
    for (const stream_event& event : whole) {
        text += event.text;
        this->note_id(event);
    }
    this->measure();
    this->timing.record_forwarded(whole.size(), this->context.timers.now(), path);
    return text;
}

std::optional<answer_fault> forwarded_events::fault() const
{
    if (this->splitter.fault()) {
        return this->splitter.fault();
    }
    // Only asked as bytes come: whether a silent upstream is left is decided by probes.
    const bool is_late =
        this->partial_since && this->context.timers.now() - *this->partial_since > max_event_time;
    return is_late ? std::optional(answer_fault::event_time) : std::nullopt;
}

void forwarded_events::drop_partial_event()
{
    this->splitter.clear();
    this->partial_since.reset();
}

void forwarded_events::note_id(const stream_event& event)
{
    if (event.id) {
        this->last_event = event.id;
        this->resumable = true;
    } else if (event.has_data) {
        this->resumable = false;
    }
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
