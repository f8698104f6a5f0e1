// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/callerwatch.h>
#include <delivery/deliverycontext.h>
#include <delivery/suspectguard.h>
#include <delivery/upstreamcall.h>
#include <delivery/upstreamgate.h>

namespace sailtiller {

/// One caller's request to a plain service: the answer is passed on once it is whole. A request that may not
/// be repeated goes to a second upstream only if the first one surely did not run it.
class plain_delivery : public std::enable_shared_from_this<plain_delivery>
{
public:
    plain_delivery(
        delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done);

    /// Begins; the delivery keeps itself alive until its caller has the answer, and then runs `on_done`.
    void start();
    /// This host ends now: the caller is told so, and whether an upstream may have run the request.
    void end_for_stop();

private:
    void search();
    void search_later();
    /// The best upstream other than the one that has the request now; nothing if there is none.
    [[nodiscard]] const discovered_upstream* choose() const;
    /// True of the upstreams that serve this request, whether or not they may take it now.
    [[nodiscard]] bool is_candidate(const discovered_upstream& upstream) const;
    [[nodiscard]] bool may_run_elsewhere() const;
    void send_to(const discovered_upstream& upstream);
    /// True if a request that is suspect of ending its upstreams may go out now; if not, it is refused or
    /// goes on once that is known.
    [[nodiscard]] bool is_cleared_to_send();
    [[nodiscard]] answer_hooks make_answer_hooks();
    void handle_head(int status, const http_headers& headers);
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
    std::optional<upstream_id> target; ///< of the call that is under way
    upstream_answer answer;
    std::string body;
    std::set<upstream_id> avoided; ///< those that have failed this request
    unsigned sends = 0;
    unsigned runs = 0; ///< sends that an upstream may have run
    bool is_done = false;
    timer_id search_timer = 0;
    timer_id slow_timer = 0;
};

} // namespace sailtiller
