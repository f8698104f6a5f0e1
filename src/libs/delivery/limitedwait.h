// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

#include <functional>

namespace sailtiller {

/// A wait of a stream for something that may still change: it looks again after each pause, and the whole
/// wait has a bound.
class limited_wait
{
public:
    explicit limited_wait(delivery_context& context)
        : context(context)
    {
    }

    /// Runs `look` after the pause, or at the bound if that comes first, in place of a look that was still
    /// ahead. The bound counts from the first look that was asked for.
    void look_again(duration pause, std::function<void()> look);
    /// True once the bound has passed.
    [[nodiscard]] bool is_over() const;
    /// Nothing is waited for any more; the next wait has a bound of its own.
    void end();

private:
    delivery_context& context;
    std::optional<time_point> bound;
    timer_id timer = 0;
};

} // namespace sailtiller
