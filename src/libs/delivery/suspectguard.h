// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Stands between one delivery and its sends: notes upstreams that end while they begin the request, and asks
/// for leave once it is suspect of ending them.
class suspect_guard
{
public:
    /// Ends the request, as it must not go out: why, and when it is worth coming back.
    using refusal = std::function<void(const std::string& reason, duration retry_after)>;

    suspect_guard(delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    /// True if the request may go out now; that holds for one send. If not, it is refused, or `on_answer`,
    /// which keeps the delivery alive, runs once that is known and asks again.
    [[nodiscard]] bool is_cleared_to_send(const std::function<void()>& on_answer, const refusal& refuse);
    /// The request goes out.
    void note_sent();
    /// The last send reached no upstream; its leave holds for the next one.
    void note_not_reached();
    /// The upstream gave a part of the answer.
    void note_progress();
    /// An upstream that ran the request ended, or broke its connection off as one does that ends.
    void note_ended(const upstream_id& upstream);
    /// An upstream ran the request to its end.
    void note_completed();

private:
    enum class trial_state { none, asking, given, withheld };

    const request_content& content();

    delivery_context& context;
    const delivery_order& order;
    std::optional<request_content> known_content; ///< read from the body when it is first needed
    trial_state trial = trial_state::none;
    bool is_trial_send = false; ///< the present send
    bool is_counted = false; ///< an end of the present send
    std::optional<time_point> first_progress; ///< of the present send
};

} // namespace sailtiller
