// SPDX-License-Identifier: Apache-2.0
#include <delivery/streamsends.h>

#include <algorithm>

namespace sailtiller {

bool stream_sends::may_send_again(bool has_started) const
{
    const bool is_spent = !has_started && this->sent >= this->context.settings.max_sends;
    return !is_spent && this->resumable && this->order.may_run_again(this->runs());
}

stream_end stream_sends::end_cause() const
{
    return this->resumable ? stream_end::runs_used_up : stream_end::not_resumable;
}

bool stream_sends::may_send_now(bool has_started) const
{
    return this->may_send_again(has_started) && this->context.may_send() && this->has_allowance(has_started);
}

bool stream_sends::has_allowance(bool has_started) const
{
    if (this->is_only_refused(has_started)) {
        return this->context.retries.left_for_refused(this->order.service, this->context.timers.now()) >= 1;
    }
    return has_retry_allowance(this->context, this->order, this->arrivals());
}

bool stream_sends::is_only_refused(bool has_started) const
{
    return !has_started && this->runs() == 0 && this->arrivals() > 0;
}

duration stream_sends::pause_before_next() const
{
    const delivery_settings& settings = this->context.settings;
    if (this->sent < settings.immediate_sends) {
        return duration::zero();
    }
    duration pause = settings.first_resend_pause;
    for (unsigned send = settings.immediate_sends; send < this->sent; ++send) {
        pause = std::min(2 * pause, settings.max_resend_pause);
    }
    return pause;
}

std::string stream_sends::describe_runs() const
{
    const unsigned most = this->order.route->may_repeat() ? this->order.route->most_attempts : 1;
    return "runs " + std::to_string(this->runs()) + " of " + std::to_string(most);
}

std::string stream_sends::describe_arrivals() const
{
    return std::to_string(this->arrivals()) + " of " + std::to_string(this->sent) + " sends arrived";
}

} // namespace sailtiller
