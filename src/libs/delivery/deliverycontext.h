// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/answerfault.h>
#include <base/eventtype.h>
#include <base/httpcallhandlers.h>
#include <base/memorybudget.h>
#include <base/plannedstop.h>
#include <base/random.h>
#include <base/timerqueue.h>
#include <bundle/sitebundle.h>
#include <delivery/callerrequest.h>
#include <delivery/streamend.h>
#include <fleet/crashsuspects.h>
#include <fleet/limitclient.h>
#include <health/stalldetector.h>
#include <routing/headroom.h>
#include <routing/layerpath.h>
#include <routing/pipemeter.h>
#include <routing/retryallowance.h>
#include <routing/upstreampauses.h>

#include <memory>

namespace sailtiller {

class admission_control;

/// Callbacks that write the answer to one caller's request.
struct caller_hooks
{
    /// Sends a complete answer.
    std::function<void(http_response)> respond;
    /// Starts an answer of unknown length.
    std::function<void(int status, const http_headers&)> start;
    /// Sends a part of the body of a started answer.
    std::function<void(std::string_view)> send;
    /// Completes a started answer.
    std::function<void()> finish;
    /// Aborts a started answer, so that the caller detects that it is incomplete.
    std::function<void()> abort;
    /// Returns true once the caller has closed its side of the connection.
    std::function<bool()> has_left;
};

/// Cancels a call; none of its handlers is called afterwards.
using cancel_call = std::function<void()>;

/// Log entry about a request.
struct delivery_event
{
    event_type what = event_type::sent;
    std::string_view request; ///< id of the request
    std::string peer; ///< upstream concerned
    std::string detail;
};

/// Measured points in time of a request.
enum class request_moment {
    sent, ///< measured from the reading of the request
    first_event, ///< measured from the reading of the request; the answer of a plain call
    next_event, ///< measured from the previous event
    ended ///< measured from the reading of the request, for every outcome
};

/// Times and limits of deliveries. docs/design/platform.md gives the measurement behind each value.
struct delivery_settings
{
    /// Time without new requests for an upstream that is unreachable or is not the intended one.
    duration suspension = std::chrono::milliseconds(1500);
    /// Upper bound of `suspension` where it doubles: an engine takes seconds to restart, and a sign of life
    /// ends the time earlier.
    duration max_suspension = std::chrono::seconds(6);
    /// Time without new requests for a dead upstream; its entry is removed within that time.
    duration death_suspension = std::chrono::milliseconds(1500);
    /// Time without new requests for an upstream that refused one, usually for lack of capacity.
    duration refusal_pause = std::chrono::milliseconds(250);
    /// Time without new requests for an upstream that refuses although less than `max_idle_load` of its
    /// capacity and slots is known to be in use. It is draining or releasing layers, which its entry can't
    /// show while the store is unavailable. The time doubles with each further refusal, and other hosts are
    /// informed. With `refusal_pause` alone, eight of 99 engines that drained during a store outage refused
    /// 250 requests per second from 64 hosts, exhausted the fleet's retry allowance and caused 381 refusals
    /// to callers within two seconds.
    duration unwilling_pause = std::chrono::milliseconds(1500);
    /// Upper bound of the doubled `unwilling_pause`; a drain takes seconds.
    duration max_unwilling_pause = std::chrono::seconds(6);
    double max_idle_load = 0.5;
    /// Interval between path searches while some layer has no holder.
    duration search_pause = std::chrono::milliseconds(25);
    /// Time without a path after which a started stream uses upstreams again that have failed it. One that is
    /// dead is known to be dead by then.
    duration avoidance_limit = std::chrono::seconds(3);
    /// Share of the latency objective for which a request without a path is held before it is refused.
    double max_hold_share = 0.2;
    /// Hold share for a returning caller, which gives up when refused again, and leaves after four objectives
    /// without an answer.
    double max_returning_hold_share = 3;
    /// Maximum load share of an upstream on the path of a new request; one more request would cause
    /// preemption. Expected answers count in full, so a share of 1 is not quite full.
    double max_engine_load = 1.3;
    /// Maximum pipe load, equal to the value that placement uses to predict the capacity of connected halls.
    double most_pipe_share = sailtiller::most_pipe_share;
    /// Interval between checks for disconnected callers.
    duration look_interval = std::chrono::milliseconds(100);
    /// Retry-after time for refusals while a layer has no holder: approximately one layer load.
    duration retry_after = std::chrono::milliseconds(1000);
    /// Time after the loss of a way in which a connection that lives on shows it by an event.
    duration lost_connection_time = std::chrono::milliseconds(100);
    /// Pause before the next path search when every path contains a dead upstream.
    duration change_pause = std::chrono::milliseconds(40);
    /// Path changes allowed without a further pause after one failure. The pause before each later one
    /// doubles, up to `max_resend_pause`.
    unsigned immediate_changes = 4;
    /// Maximum number of sends per request, including refused ones; beyond it the caller gets a retry-after
    /// answer.
    unsigned max_sends = 5;
    /// Sends without a pause. Later sends wait for `first_resend_pause`, which doubles each time up to
    /// `max_resend_pause`.
    unsigned immediate_sends = 4;
    duration first_resend_pause = std::chrono::milliseconds(60);
    duration max_resend_pause = std::chrono::milliseconds(400);
    /// Maximum time after a send in which a closed connection is treated as already closed when reused: one
    /// round trip, or one retransmission of a lost packet. If it closes later, the upstream had the request,
    /// and a resent copy would carry an outdated remaining time.
    duration max_resend_delay = std::chrono::milliseconds(250);
};

struct delivery_order;

/// Of the bodies of all answers that a host holds: a quarter of the memory of the machines it is made for, as
/// a text that grows may take twice its size. The largest single answer fits.
constexpr std::size_t max_held_answer_bytes = std::size_t{64} << 20U;
/// Beyond that, for small answers, whatever the large ones hold.
constexpr std::size_t small_answers_bytes = std::size_t{16} << 20U;

/// State shared by all deliveries of this host. All referenced objects outlive the deliveries.
struct delivery_context
{
    timer_hooks timers;
    request_codec codec;
    /// Sends a request. A repeatable one may use a kept connection and is resent if that proves to be closed;
    /// any other gets a connection of its own.
    std::function<cancel_call(
        const upstream_target&, const http_request&, bool may_repeat, http_call_handlers)>
        send;
    /// Asks an engine to move a running request to another path.
    std::function<void(const path_change&, std::function<void(const path_change_answer&)>)> change_path;
    stall_detector& watch;
    const upstream_directory& directory;
    engine_loads& loads;
    retry_allowance& retries;
    pipe_meter& pipes;
    /// Requests and parts of prompts during which upstreams crashed, shared by all hosts.
    crash_suspects& suspects;
    /// Asks the fleet for one trial of a request that holds these suspects; answers asynchronously.
    std::function<void(const suspect_list&, const std::function<void(bool is_given)>& on_answer)> claim_trial;
    /// This host's shares of the upstreams' limits on requests per second.
    limit_client& limits;
    /// Called for each upstream that announces its shutdown in an answer.
    std::function<void(const upstream_id&)> on_leaving;
    /// Upstreams that asked this host to pause.
    upstream_pauses& pauses;
    random_function random;
    data_hall_id data_hall;
    /// Returns false while this host can't confirm that its bundle is the newest.
    std::function<bool()> may_send;
    std::function<void(const delivery_event&)> log;
    delivery_settings settings;
    /// Records a request's times by route and account; optional.
    std::function<void(const delivery_order&, request_moment, duration)> measure;
    /// Counts started streams that ended without their last event; optional.
    std::function<void(stream_end)> count_end;
    /// Returns the retry-after time if neither this host nor another one that it hears can send a request to
    /// the service; empty if one can. Only requests that may be repeated go over kept connections. Optional.
    std::function<std::optional<duration>(const service_id&, bool may_repeat)> retry_after_if_unreachable;
    /// Counts requests that were refused because of a suspect of this kind; optional.
    std::function<void(suspect_kind)> count_suspect_refusal;
    /// Returns false while this host can connect to none of the upstream's group, so that a failed connection
    /// says nothing about the upstream; optional.
    std::function<bool(const upstream_id&)> is_group_reachable = {};
    /// Counts answers that were broken off as their bytes are none; optional.
    std::function<void(answer_fault)> count_answer_fault{};
    /// Chooses the heads of new requests while request slots are scarce; optional.
    headroom* heads = nullptr;
    /// Admission to the engines; optional.
    admission_control* admission = nullptr;
    planned_stop stop = {};
    /// For the bodies of plain answers, which are held whole until their ends.
    std::shared_ptr<memory_budget> answer_memory =
        std::make_shared<memory_budget>(max_held_answer_bytes + small_answers_bytes, small_answers_bytes);
};

/// Request with its settings from the bundle.
struct delivery_order
{
    caller_request request;
    std::shared_ptr<const site_bundle> bundle; ///< in use until the request ends
    const service_route* route = nullptr; ///< owned by `bundle`
    std::optional<client_account_id> account;
    std::optional<int> priority;
    service_id service;
    time_point arrived{}; ///< time at which the request was read

    /// Returns the latest time of the request's final answer.
    [[nodiscard]] time_point deadline() const;
    /// Returns the limit behind `deadline` and its source, for the log.
    [[nodiscard]] std::string describe_time_limit() const;
    /// Returns the end of the time for which the request is held while no upstream can take it.
    [[nodiscard]] time_point hold_end(const delivery_settings& settings) const;
    /// Returns true if the caller has tried before: it resumes after an event, or has used up a part of its
    /// time.
    [[nodiscard]] bool is_returning_caller() const;
    /// Returns the time limit for an engine's answer to a path change of this request.
    [[nodiscard]] duration path_change_limit() const;
    /// Returns true if one more upstream may run the request after `runs` upstreams have started it.
    [[nodiscard]] bool may_run_again(unsigned runs) const;
    /// Returns the digest that is the same for every retry of a request, whose ids differ. Reads the whole
    /// body, which takes some microseconds.
    [[nodiscard]] request_content content() const;
    /// Returns what tells requests apart or shows what they share, for the log of a failed send: the content
    /// and the shared parts of the prompt.
    [[nodiscard]] std::string describe_content() const;
    /// Returns the request for this upstream, without a path.
    [[nodiscard]] upstream_request make_request(const upstream_id& target, time_point now) const;
};

/// Reason given to callers with pending requests when their host stops.
constexpr const char* host_stopping_reason = "this host is stopping and can't wait for further answers";

/// Returns true if this host stops before an answer within the order's latency objective, so that sending the
/// order would only make it uncertain whether it has run.
[[nodiscard]] bool is_stop_too_near(const delivery_context& context, const delivery_order& order);
/// Records the time from the reading of the request until now.
void measure_since_arrival(
    const delivery_context& context, const delivery_order& order, request_moment moment);
/// Counts an answer that is broken off as its bytes are none. Returns the reason for the log.
std::string note_answer_fault(const delivery_context& context, answer_fault fault);
/// Suspends new requests to an upstream that refused one, for `refusal_pause`.
void avoid_after_refusal(const delivery_context& context, const upstream_id& id);
/// Suspends new requests to an upstream that refused one despite free capacity, for `unwilling_pause` or
/// longer.
void avoid_unwilling(const delivery_context& context, const upstream_id& id);
/// Records a failed connection to an upstream, which is probed. It gets no new requests for `refusal_pause`,
/// and without another sign of life for `suspension` or longer.
void note_unreachable(const delivery_context& context, const upstream_id& id);
/// Records that an upstream ran a request and failed.
void note_failure(const delivery_context& context, const upstream_id& id);
/// Applies the upstream state in the head of an answer to a request sent at `sent`.
void note_answer(
    const delivery_context& context, const upstream_id& id, const upstream_answer& answer, time_point sent);
/// Returns true if the fleet's retry allowance permits the next send of an order that has had so many
/// arrivals. The allowance is for arrivals at upstreams, so the first one and what precedes it need none.
[[nodiscard]] bool has_retry_allowance(
    const delivery_context& context, const delivery_order& order, unsigned arrivals);

/// Reason for refusing a request to a service to which neither this host nor another one can connect.
inline constexpr const char* unreachable_service_reason =
    "neither this host nor another one that it hears can connect to the service";

/// Returns the retry-after time if neither this host nor another one that it hears can connect to the service
/// of the order; empty if one can.
[[nodiscard]] std::optional<duration> retry_after_if_unreachable(
    const delivery_context& context, const delivery_order& order);

/// Returns a refusal that reports that the request has not run, with a retry-after time.
http_response make_refusal(duration retry_after, const std::string& reason);
/// Returns an error answer of this host that leaves open whether the request has run.
http_response make_failure(int status, const std::string& reason);
/// Returns the answer to a request that no upstream takes after `runs` upstreams started it: a refusal with a
/// retry-after time, unless the request has run and is not repeatable.
http_response make_last_answer(
    const delivery_order& order, unsigned runs, duration retry_after, const std::string& reason);

} // namespace sailtiller
