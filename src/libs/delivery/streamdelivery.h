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

/// Stream of one caller over paths of engines. Forwards complete events as they arrive. When a path fails,
/// the stream resumes on another one after the last forwarded event, within the same answer.
class stream_delivery : public std::enable_shared_from_this<stream_delivery>
{
public:
    stream_delivery(
        delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done);

    /// Starts the delivery, which keeps itself alive until its caller has the answer and then calls
    /// `on_done`.
    void start();
    /// Ends the delivery because the caller has disconnected.
    void abandon();
    /// Ends the delivery because the host stops. A caller without an answer gets one that states whether an
    /// engine may have run the request; a started answer is aborted, with `cut` in the log. Returns true if
    /// an answer was aborted.
    bool end_for_stop(const std::string& cut);
    /// Moves the stream off these dead upstreams if its path contains any of them.
    void leave_upstreams(const std::vector<upstream_id>& ids);
    /// Handles a dead upstream that is alive again: a stream with this head that has found no other path yet
    /// stays with it.
    void keep_upstream(const upstream_id& id);
    /// Moves the stream off a silent connection to a head to which no new one can be made.
    /// `unreachable_since` returns since when that is so; empty if connections can be made.
    void leave_lost_connection(
        const std::function<std::optional<time_point>(const upstream_id&)>& unreachable_since);
    /// Moves the stream off engines that have released layers of its path: they load new layers only once no
    /// stream uses the old ones. Without a good alternative, the stream keeps its path.
    void leave_given_up_layers();

private:
    enum class phase { searching, waiting, streaming, done };

    void search();
    /// Sends, holds or refuses a request that has not run, as admission decides.
    void search_admitted();
    void hold_for_admission(const std::string& reason);
    void refuse_for_admission(const admission_verdict& verdict);
    /// Continues the search for a request for which there is no path.
    void wait_for_path();
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
    /// Keeps a started stream waiting for a way to the service; refuses another one.
    void wait_for_connection(duration retry_after);
    /// Repeats the search after the pause and records the obstacle.
    void schedule_search(search_obstacle obstacle, duration pause);
    /// Returns true if the request may be sent now. A request suspected of crashing its upstreams otherwise
    /// is refused, or continues once its trial is decided.
    [[nodiscard]] bool is_cleared_to_send();
    [[nodiscard]] upstream_request make_upstream_request() const;
    [[nodiscard]] answer_hooks make_answer_hooks();
    void handle_head(int status, const http_headers& headers);
    void take_body(std::string_view bytes);
    void handle_answer_fault(answer_fault fault);
    void handle_call_end(call_ending ending, const std::string& reason);
    void handle_connect_failure(const std::string& reason);
    void handle_refusal();
    /// Searches again, after a pause if the request was sent often.
    void search_after_pause(search_obstacle obstacle);
    /// Avoids the head if another path exists: without its connection it may go on with the stream for a
    /// while.
    void avoid_busy_head();
    void fail_over(const std::string& reason);
    void retry_or_give_up(const std::string& reason);
    /// Logs the failure and clears the path. Returns false if no run is left and the stream was given up.
    [[nodiscard]] bool leave_failed_path(const std::string& reason);
    void finish_other_answer();
    void give_up(stream_end cause, const std::string& reason);
    void wait_for_configuration();
    void refuse(stream_end cause, const std::string& reason);
    void refuse(stream_end cause, const std::string& reason, duration retry_after);
    void refuse_with_retry_after(const std::string& reason, duration retry_after);
    void end_with_error(const http_response& answer);
    void finish();
    /// Logs the end of an incomplete stream, and counts it if its answer had started.
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
    std::unique_ptr<request_admission> admission; ///< null if admission doesn't decide for the service
    path_use path;
    upstream_answer answer; ///< of the current call
    std::string non_stream_body; ///< body of an answer that is not a stream
    forwarded_events events;
    std::set<upstream_id> avoided; ///< upstreams that are dead or failed this request
    stream_sends sends;
    upstream_gate gate;
    suspect_guard guard;
    bool has_started = false; ///< the caller has the head of the answer
    path_changes changes;
    delayed_check head_check; ///< check of a head that is suspected to be dead
    delayed_check search_check; ///< repeated search for a path or permission to send
    search_obstacles obstacles;
};

} // namespace sailtiller
