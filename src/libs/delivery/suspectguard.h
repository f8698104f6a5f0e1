// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// Records upstreams that crash while they start the request of one delivery, and requires a trial for each
/// send once the request, or a part of its prompt, is suspected of crashing them.
class suspect_guard
{
public:
    /// Refuses a request that must not be sent, with a reason and a retry-after time.
    using refusal = std::function<void(const std::string& reason, duration retry_after)>;

    suspect_guard(delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    /// Returns true if the request may be sent now; valid for one send. Otherwise the request is refused, or
    /// `on_answer`, which keeps the delivery alive, is called once the trial is decided and asks again.
    [[nodiscard]] bool is_cleared_to_send(const std::function<void()>& on_answer, const refusal& refuse);
    /// Records that the request is sent.
    void note_sent();
    /// Records that the last send reached no upstream; its trial remains valid for the next one.
    void note_not_reached();
    /// Records that the upstream sent a part of the answer.
    void note_progress();
    /// Records that an upstream that ran the request ended, or closed the connection as a crashing upstream
    /// does.
    void note_ended(const upstream_id& upstream);
    /// Records that an upstream completed the request.
    void note_completed();

private:
    enum class trial_state { none, asking, given, withheld };

    [[nodiscard]] suspect_list list_parts() const;
    /// The request and the parts of its prompt.
    const suspect_list& causes();
    [[nodiscard]] bool is_past_start_phase() const;
    void note_passed();
    void refuse_suspect(const suspect_list& suspects, const std::string& outlook, duration retry_after,
        const refusal& refuse);

    delivery_context& context;
    const delivery_order& order;
    std::optional<suspect_list> known_causes; ///< the content is computed from the body on first use
    trial_state trial = trial_state::none;
    suspect_list trial_suspects; ///< of the last trial that was asked for
    bool is_trial_send = false; ///< of the current send
    bool has_passed = false; ///< the current send is past the start phase
    bool is_counted = false; ///< a crash during the current send is counted
    std::optional<time_point> first_progress; ///< of the current send
};

} // namespace sailtiller
