// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/callerwatch.h>
#include <delivery/deliverycontext.h>
#include <delivery/suspectguard.h>
#include <delivery/upstreamcall.h>
#include <delivery/upstreamgate.h>

namespace sailtiller {

/// Request of one caller to a plain service; the answer is forwarded once it is complete. A request that may
/// not be repeated is sent to a second upstream only if the first one certainly did not run it.
class plain_delivery : public std::enable_shared_from_this<plain_delivery>
{
public:
    plain_delivery(
        delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done);

    /// Starts the delivery, which keeps itself alive until its caller has the answer and then calls
    /// `on_done`.
    void start();
    /// Ends the delivery because the host stops. The caller's answer states whether an upstream may have run
    /// the request.
    void end_for_stop();

private:
    void search();
    void schedule_search();
    /// Returns the best upstream other than the target of the current call; null if there is none.
    [[nodiscard]] const discovered_upstream* choose() const;
    /// Returns true if the upstream serves this request, regardless of its current availability.
    [[nodiscard]] bool is_candidate(const discovered_upstream& upstream) const;
    [[nodiscard]] bool may_run_elsewhere() const;
    void send_to(const discovered_upstream& upstream);
    /// Returns true if the request may be sent now. A request suspected of crashing its upstreams otherwise
    /// is refused, or continues once its trial is decided.
    [[nodiscard]] bool is_cleared_to_send();
    [[nodiscard]] answer_hooks make_answer_hooks();
    void handle_head(int status, const http_headers& headers);
    void take_body(std::string_view bytes);
    void handle_call_end(call_ending ending, const std::string& reason);
    void handle_complete_answer();
    void pass_on();
    void retry_or_fail(const std::string& reason);
    void retry_or_pass_on();
    void abandon_slow_call();
    void refuse(const std::string& reason);
    void refuse(const std::string& reason, duration retry_after);
    void end_at_limit();
    void end_caller_left();
    void release();
    void end();
    void log(event_type what, const std::string& detail) const;

    delivery_context& context;
    delivery_order order;
    caller_hooks caller;
    std::function<void()> on_done;
    caller_watch caller_monitor;
    upstream_call call;
    upstream_gate gate;
    suspect_guard guard;
    std::optional<upstream_id> target; ///< of the current call
    upstream_answer answer;
    std::string body;
    memory_share body_memory;
    std::set<upstream_id> avoided; ///< upstreams that failed this request
    unsigned sends = 0;
    unsigned arrivals = 0; ///< sends that reached an upstream or may have
    unsigned runs = 0; ///< sends that an upstream may have run
    bool is_done = false;
    timer_id search_timer = 0;
    timer_id slow_timer = 0;
};

} // namespace sailtiller
