// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

#include <functional>

namespace sailtiller {

/// Path changes requested for one running stream: one at a time, and at growing intervals after the first few
/// for one failure.
class path_changes
{
public:
    explicit path_changes(delivery_context& context)
        : context(context)
    {
    }

    /// Returns true while a path change is unanswered.
    [[nodiscard]] bool is_asking() const { return this->is_unanswered; }
    /// Returns true if one more path change is allowed now for the current failure.
    [[nodiscard]] bool may_start_change() const;
    /// Counts one more path change for the current failure.
    void count_change();
    /// Uncounts the last path change, because the engine didn't know the request. Returns the pause before
    /// the next one, which doubles: with a constant 40 ms, one stream asked 75 times in 3 s.
    duration uncount_change();
    /// Resets the counts after an event, which ends the failure.
    void note_progress();
    /// Asks the first engine of `next` to move the request to that path.
    void ask(const delivery_order& order, const layer_path& next,
        std::function<void(const path_change_answer&)> on_answer);
    /// Ends the pending path change, after its answer or when the stream no longer waits for it.
    void end_pending_change() { this->is_unanswered = false; }
    /// Calls `try_again` after the pause, unless cancelled.
    void schedule(duration pause, std::function<void()> try_again);
    void cancel();

private:
    delivery_context& context;
    bool is_unanswered = false;
    unsigned taken = 0; ///< since the last event
    time_point next_at{}; ///< earliest time of the next change
    unsigned unknown = 0; ///< answers since the last event that the request is unknown
    timer_id timer = 0;
};

} // namespace sailtiller
