// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Stands between one delivery and its sends: notes upstreams that end while they begin the request, and asks
/// for leave once it is suspect of ending them.
class suspect_guard
{
public:
    /// Whether the request may go out now.
    enum class leave {
        given,
        awaited, ///< it is asked for; `on_answer` runs
        refused ///< `refusal` tells why, and when to come back
    };

    struct refusal_reason
    {
        std::string text;
        duration retry_after{};
    };

    suspect_guard(delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    /// A leave that is given holds for one send. `on_answer` keeps the delivery alive, and asks again.
    leave ask(const std::function<void()>& on_answer);
    [[nodiscard]] const refusal_reason& refusal() const { return this->reason; }
    /// The request goes out.
    void note_sent();
    /// The last send reached no upstream; its leave holds for the next one.
    void note_not_reached();
    /// The upstream gave a part of the answer.
    void note_progress();
    /// An upstream that ran the request ended, or broke its connection off as one does that ends.
    void note_ended(const upstream_id& upstream);
    /// An upstream ran the request to its end.
    void note_whole();

private:
    enum class trial_state { none, asking, given, withheld };

    leave refuse(const char* text, duration retry_after);
    const request_content& content();

    delivery_context& context;
    const delivery_order& order;
    std::optional<request_content> known_content; ///< read from the body when it is first needed
    trial_state trial = trial_state::none;
    bool sends_on_trial = false; ///< the present send
    bool is_counted = false; ///< an end of the present send
    std::optional<time_point> first_progress; ///< of the present send
    refusal_reason reason;
};

} // namespace sailtiller
