// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/callerwatch.h>
#include <delivery/deliverycontext.h>
#include <delivery/eventsplitter.h>
#include <delivery/upstreamcall.h>

namespace sailtiller {

/// One caller's stream over paths of engines: whole events are passed on as they come, and when a path fails
/// the stream goes on over another, after the last event that was passed on, within the same answer.
class stream_delivery : public std::enable_shared_from_this<stream_delivery>
{
public:
    stream_delivery(
        delivery_context& context, delivery_order order, caller_hooks caller, std::function<void()> on_done);

    void start();
    /// The caller is gone; its work ends.
    void abandon();
    /// An upstream is dead: if the stream passes through it, the stream goes on without it.
    void leave_upstream(const upstream_id& id);

private:
    enum class phase { searching, waiting, streaming, done };

    void search();
    [[nodiscard]] const engine_profile* find_profile() const;
    [[nodiscard]] path_question make_question() const;
    /// Visits each step of a path from one hall to another.
    void for_each_crossing(const layer_path& over,
        const std::function<void(const data_hall_id& from, const data_hall_id& to)>& visit) const;
    [[nodiscard]] bool has_room(const engine_profile& profile, const layer_path& over) const;
    void note_crossings(const engine_profile& profile);
    void change_path();
    [[nodiscard]] bool may_resume_elsewhere() const;
    void ask_for_path(layer_path next);
    void take_path_answer(layer_path next, const path_change_answer& result);
    [[nodiscard]] bool passes_avoided() const;
    void take_loads();
    void watch_first_event();
    void send_on(layer_path path);
    [[nodiscard]] upstream_request make_upstream_request(const layer_path& path) const;
    [[nodiscard]] answer_hooks make_answer_hooks();
    void take_head(int status, const http_headers& headers);
    void take_body(std::string_view bytes);
    void take_end(call_ending ending, const std::string& reason);
    void note_passed();
    void take_refusal();
    void fail_over(const std::string& reason);
    void finish_other_answer();
    void refuse(const std::string& reason);
    void finish();
    void end_at_limit();
    void release_loads();
    void release_path();
    void end();
    void log(std::string_view what, const std::string& detail) const;
    [[nodiscard]] double expected_answer_tokens() const;
    [[nodiscard]] std::string describe_path() const;

    delivery_context& context;
    delivery_order order;
    caller_hooks caller;
    std::function<void()> on_done;
    caller_watch patience;
    upstream_call call;
    phase state = phase::searching;
    layer_path path;
    upstream_answer answer; ///< of the present call
    std::string other_body; ///< of an answer that is no stream
    event_splitter events;
    std::optional<std::uint64_t> last_event;
    std::size_t events_passed = 0;
    time_point last_passed{}; ///< when the caller was last sent an event
    duration first_wait{}; ///< from the request's arrival to its first event
    duration longest_pause{}; ///< between two events
    std::string longest_pause_path; ///< the path on which that pause was
    std::set<upstream_id> avoided;
    unsigned sends = 0;
    unsigned runs = 0; ///< calls that an upstream has begun
    bool has_started = false; ///< the caller has the head of the answer
    std::optional<stall_watch::stream_key> watch_key;
    bool is_changing_path = false;
    unsigned changes = 0; ///< of the path, since the last event
    timer_id change_timer = 0;
    timer_id search_timer = 0;
};

} // namespace sailtiller
