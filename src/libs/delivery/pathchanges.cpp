// SPDX-License-Identifier: Apache-2.0
#include <delivery/pathchanges.h>
#include <delivery/pathuse.h>

#include <algorithm>

namespace sailtiller {

bool path_changes::may_start_change() const
{
    return this->context.timers.now() >= this->next_at;
}

void path_changes::count_change()
{
    ++this->taken;
    const delivery_settings& settings = this->context.settings;
    duration pause = duration::zero();
    for (unsigned change = settings.immediate_changes; change <= this->taken; ++change) {
        pause = std::min(std::max(2 * pause, settings.change_pause), settings.max_resend_pause);
    }
    this->next_at = this->context.timers.now() + pause;
}

duration path_changes::uncount_change()
{
    --this->taken;
    duration pause = this->context.settings.change_pause;
    for (unsigned answer = 0; answer < this->unknown; ++answer) {
        pause = std::min(2 * pause, this->context.settings.max_resend_pause);
    }
    ++this->unknown;
    return pause;
}

void path_changes::note_progress()
{
    this->taken = 0;
    this->unknown = 0;
    this->next_at = {};
}

void path_changes::ask(const delivery_order& order, const layer_path& next,
    std::function<void(const path_change_answer&)> on_answer)
{
    path_change change;
    change.head = next.front().id;
    change.address = next.front().address;
    change.request = order.request.id;
    change.limit = order.path_change_limit();
    change.path = make_stage_endpoints(next);
    this->is_unanswered = true;
    this->context.change_path(change, std::move(on_answer));
}

void path_changes::schedule(duration pause, std::function<void()> try_again)
{
    this->cancel();
    this->timer = this->context.timers.schedule_after(pause, std::move(try_again));
}

void path_changes::cancel()
{
    this->context.timers.cancel(this->timer);
}

} // namespace sailtiller
