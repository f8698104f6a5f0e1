// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

#include <functional>

namespace sailtiller {

/// The changes of path that one running stream asks its engines for: one at a time, and after the first few
/// for one failure, less and less often.
class path_changes
{
public:
    explicit path_changes(delivery_context& context)
        : context(context)
    {
    }

    /// True from an ask until its answer.
    [[nodiscard]] bool is_asking() const { return this->is_unanswered; }
    /// True if the present failure may take one change more now.
    [[nodiscard]] bool may_start_change() const;
    /// The present failure takes one change more.
    void count_change();
    /// The engine didn't know the request, so the change that was taken last is still to be had. Returns the
    /// pause until it is asked for again, which doubles: at 40 ms each, one stream asked 75 times in 3 s.
    duration uncount_change();
    /// An event came, so the failure is over.
    void note_progress();
    /// Asks the first engine of `next` to lead the request over it.
    void ask(const delivery_order& order, const layer_path& next,
        std::function<void(const path_change_answer&)> on_answer);
    /// The answer came, or the stream no longer waits for it.
    void end_pending_change() { this->is_unanswered = false; }
    /// Runs `try_again` after the pause, unless it is cancelled.
    void schedule(duration pause, std::function<void()> try_again);
    void cancel();

private:
    delivery_context& context;
    bool is_unanswered = false;
    unsigned taken = 0; ///< since the last event
    time_point next_at{}; ///< the next one is not taken before this
    unsigned unknown = 0; ///< answers, since the last event, that the engine doesn't know the request
    timer_id timer = 0;
};

} // namespace sailtiller
