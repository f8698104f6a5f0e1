// SPDX-License-Identifier: Apache-2.0
#include <admission/requestadmission.h>
#include <base/timetext.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Paths that are looked at for one request, each without the stage that made the last one late.
constexpr unsigned max_paths = 3;
/// Part of the reserve for more urgent requests that a request of its class's kept part respects, which would
/// otherwise wait behind these.
constexpr double kept_reserve_part = 0.5;

} // namespace

request_admission::request_admission(
    admission_control& control, admission_view view, const admission_request& request)
    : control(control)
    , view(std::move(view))
    , request(request)
{
    this->control.note_arrival(request);
}

request_admission::~request_admission()
{
    this->end();
}

std::size_t request_admission::count_heads() const
{
    const auto& entries = this->view.directory.entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [this](const auto& item) {
        const discovered_upstream& upstream = item.second.upstream;
        return upstream.service == this->request.service && !upstream.is_leaving && upstream.held.holds(0);
    }));
}

path_forecast request_admission::forecast(const layer_path& path) const
{
    const double part = this->draw == admission_draw::kept ? kept_reserve_part : 1;
    const double reserved = part * this->control.reserved_slots(this->request.kind, this->count_heads());
    return predict_path_times({this->view.profile, this->view.directory, this->view.loads,
                                  this->control.corrections, this->request.prompt_tokens, reserved,
                                  this->control.urgent_share(this->request.kind.priority), this->view.now()},
        path);
}

admission_verdict request_admission::decide(const std::set<upstream_id>& avoided)
{
    if (!this->draw) {
        this->draw = this->control.draw(this->request);
    }
    if (*this->draw == admission_draw::refused) {
        return this->refuse(admission_outcome::shed, "the engines are overloaded");
    }
    return this->find_path(avoided);
}

admission_verdict request_admission::find_path(const std::set<upstream_id>& avoided)
{
    std::set<upstream_id> tried = avoided;
    std::optional<path_forecast> best;
    bool is_full = false;
    for (unsigned count = 0; count < max_paths; ++count) {
        std::optional<layer_path> found = this->view.find_path(tried);
        if (!found) {
            is_full = this->view.is_short_of_slots && this->view.is_short_of_slots();
            break;
        }
        if (!this->view.has_room(*found)) {
            is_full = true;
            break;
        }
        path_forecast predicted = this->forecast(*found);
        if (this->control.is_in_time(this->request, predicted)) {
            if (!this->is_admitted) {
                this->control.counters.count(this->request.kind.route_priority, admission_outcome::admitted);
            }
            this->is_admitted = true;
            return {admission_verdict::action::send, std::move(*found), {}, {}};
        }
        tried.insert(predicted.binding);
        if (!best || predicted.wait() < best->wait()) {
            best = std::move(predicted);
        }
    }
    if (best) {
        const duration excess = best->first_event() - this->request.objective;
        return this->hold_or_refuse(admission_outcome::no_path_in_time, excess,
            "the first event is predicted after " + write_milliseconds(best->first_event()) + " ms, "
                + write_milliseconds(best->slot_wait) + " ms of them for a slot and "
                + write_milliseconds(best->prompt_wait) + " ms for other prompts, most at "
                + best->binding.value());
    }
    if (is_full) {
        return this->hold_or_refuse(admission_outcome::no_path_in_time, duration::zero(),
            "the engines that hold some layer, the slots of the first engines or the pipes between halls are "
            "full");
    }
    return {};
}

/// Holds the request if it can be sent before the end of its hold, in `needed` or later.
admission_verdict request_admission::hold_or_refuse(
    admission_outcome cause, duration needed, const std::string& reason)
{
    const time_point now = this->view.now();
    const time_point hold_end = this->request.hold_end;
    if (now + std::max(needed, duration::zero()) < hold_end) {
        return {admission_verdict::action::hold, {}, reason, {}};
    }
    return this->refuse(cause, reason);
}

admission_verdict request_admission::refuse(admission_outcome cause, const std::string& reason)
{
    this->control.counters.count(this->request.kind.route_priority, cause);
    return {admission_verdict::action::refuse, {},
        reason + ", priority " + std::to_string(this->request.kind.priority) + ", of its route "
            + std::to_string(this->request.kind.route_priority)
            + (this->request.kind.is_first_try ? "" : ", returned") + ", "
            + write_milliseconds(this->request.deadline - this->view.now()) + " ms left, own objective "
            + write_milliseconds(this->request.objective) + " ms, " + this->control.describe(),
        this->control.retry_after(this->request)};
}

admission_verdict request_admission::displace()
{
    this->place.reset();
    return this->refuse(admission_outcome::displaced, "more urgent requests are held");
}

bool request_admission::hold(std::function<void()> try_again, std::function<void()> leave)
{
    if (!this->place) {
        this->place =
            this->control.queue.hold({this->request.kind, this->request.deadline, this->request.work},
                std::move(try_again), std::move(leave));
    }
    return this->place.has_value();
}

void request_admission::leave_queue()
{
    if (this->place) {
        this->control.queue.remove(*this->place);
        this->place.reset();
    }
}

void request_admission::note_sent(const layer_path& path)
{
    this->leave_queue();
    ++this->sends;
    const time_point now = this->view.now();
    if (!this->sent) {
        this->sent = now;
        this->control.own.begin_wait(now);
    }
    if (this->first_event) {
        return;
    }
    const path_forecast forecast = this->forecast(path);
    const double correction = this->control.corrections.first_event.at(now);
    this->predicted = {forecast.first_event(), forecast.slot_wait,
        scale(forecast.prompt_wait + forecast.idle_time, 1 / correction),
        predict_token_time(this->view.profile, this->view.directory, this->view.loads, path)};
}

void request_admission::note_event()
{
    if (!this->sent || this->first_event) {
        return;
    }
    const time_point now = this->view.now();
    this->first_event = now;
    const duration delay = now - *this->sent;
    this->control.own.end_wait(*this->sent, true, now);
    this->control.counters.record_first_event(this->predicted.first_event, delay);
    const bool is_late = now - this->request.arrived > this->request.objective;
    this->control.counters.count(this->request.kind.route_priority,
        is_late ? admission_outcome::first_event_late : admission_outcome::first_event_in_time);
    if (this->sends == 1) {
        this->control.corrections.first_event.note(
            delay - this->predicted.slot_wait, this->predicted.uncorrected, now);
    }
}

void request_admission::note_complete(std::size_t event_count)
{
    if (!this->first_event || this->sends != 1) {
        return;
    }
    const time_point now = this->view.now();
    const duration running = now - *this->first_event;
    this->control.corrections.note_residence(running);
    if (event_count > 1) {
        const duration between = running / static_cast<duration::rep>(event_count - 1);
        this->control.corrections.pause.note(between, this->predicted.token_time, now);
    }
}

void request_admission::end()
{
    this->leave_queue();
    if (this->sent && !this->first_event) {
        this->control.own.end_wait(*this->sent, false, this->view.now());
    }
    this->sent.reset();
}

} // namespace sailtiller
