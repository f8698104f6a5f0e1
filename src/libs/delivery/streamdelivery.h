// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/callerwatch.h>
#include <delivery/delayedcheck.h>
#include <delivery/deliverycontext.h>
#include <delivery/forwardedevents.h>
#include <delivery/pathchanges.h>
#include <delivery/pathuse.h>
#include <delivery/searchobstacles.h>
#include <delivery/streamsends.h>
#include <delivery/suspectguard.h>
#include <delivery/upstreamcall.h>

namespace sailtiller {

/// One caller's stream over paths of engines: whole events are passed on as they come, and when a path fails
/// the stream goes on over another, after the last event that was passed on, within the same answer.
class stream_delivery : public std::enable_shared_from_this<stream_delivery>
{
public:
    stream_delivery(
        delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done);

    /// Begins; the delivery keeps itself alive until its caller has the answer, and then runs `on_done`.
    void start();
    /// The caller is gone; its work ends.
    void abandon();
    /// This host ends now: a caller without an answer is told so, and whether an engine may have run the
    /// request; an answer that has begun is broken off, with `cut` in the log. True if one was broken off.
    bool end_for_stop(const std::string& cut);
    /// These upstreams are dead: a stream that passes through some of them goes on without all of those.
    void leave_upstreams(const std::vector<upstream_id>& ids);
    /// An upstream that was dead has given a sign of life: a stream that it leads and that found no other way
    /// yet stays with it.
    void keep_upstream(const upstream_id& id);
    /// Leads the stream around engines that have given up layers of its path: they load new ones only once no
    /// stream passes through the old ones. If there is no good other path, the stream stays where it is.
    void leave_given_up_layers();

private:
    enum class phase { searching, waiting, streaming, done };

    void search();
    [[nodiscard]] bool is_under_way() const;
    void fail_over_from_head();
    void change_path();
    void schedule_change(duration pause);
    void ask_for_path(const layer_path& next);
    void handle_path_change_answer(layer_path next, const path_change_answer& result);
    void handle_unknown_request();
    void avoid_refusing_stage(const layer_path& refused, const endpoint& at_fault);
    void send_over(layer_path found);
    void wait_for_allowance();
    /// Looks again after the pause for what this keeps the stream from.
    void search_later(search_obstacle obstacle, duration pause);
    /// True if a request that is suspect of ending its upstreams may go out now; if not, it is refused or
    /// goes on once that is known.
    [[nodiscard]] bool is_cleared_to_send();
    [[nodiscard]] upstream_request make_upstream_request() const;
    [[nodiscard]] answer_hooks make_answer_hooks();
    void handle_head(int status, const http_headers& headers);
    void take_body(std::string_view bytes);
    void handle_call_end(call_ending ending, const std::string& reason);
    void handle_connect_failure(const std::string& reason);
    void handle_refusal();
    void fail_over(const std::string& reason);
    void retry_or_give_up(const std::string& reason);
    void finish_other_answer();
    void give_up(stream_end cause, const std::string& reason);
    void wait_for_configuration();
    void refuse(stream_end cause, const std::string& reason);
    void refuse(stream_end cause, const std::string& reason, duration retry_after);
    void refuse_with_retry_after(const std::string& reason, duration retry_after);
    void end_with_error(const http_response& answer);
    void finish();
    /// Logs the end of a stream that isn't whole, and counts it if its answer had begun.
    void note_cut(event_type what, stream_end cause, const std::string& reason) const;
    [[nodiscard]] std::string_view describe_state() const;
    void end_at_limit();
    void release_call();
    void end();
    void log(event_type what, const std::string& detail) const;

    delivery_context& context;
    delivery_order order;
    caller_hooks caller;
    std::function<void()> on_done;
    caller_watch caller_monitor;
    upstream_call call;
    phase state = phase::searching;
    path_chooser chooser;
    path_use path;
    upstream_answer answer; ///< of the present call
    std::string non_stream_body; ///< of an answer that is no stream
    forwarded_events events;
    std::set<upstream_id> avoided; ///< dead, or they have failed this request
    stream_sends sends;
    upstream_gate gate;
    suspect_guard guard;
    bool has_started = false; ///< the caller has the head of the answer
    path_changes changes;
    delayed_check head_check; ///< at a first engine that seems dead
    delayed_check search_check; ///< for a path, or leave to send
    search_obstacles obstacles;
};

} // namespace sailtiller
