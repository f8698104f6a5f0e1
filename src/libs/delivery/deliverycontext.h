// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/eventtype.h>
#include <base/httpcallhandlers.h>
#include <base/plannedstop.h>
#include <base/random.h>
#include <base/timerqueue.h>
#include <bundle/sitebundle.h>
#include <delivery/callerrequest.h>
#include <delivery/streamend.h>
#include <fleet/crashsuspects.h>
#include <fleet/limitholder.h>
#include <health/stallwatch.h>
#include <routing/layerpath.h>
#include <routing/pipemeter.h>
#include <routing/retryallowance.h>
#include <routing/upstreampauses.h>

#include <memory>

namespace sailtiller {

/// The answer to one caller's request, as it is given.
struct caller_hooks
{
    /// Answers at once.
    std::function<void(const http_response&)> respond;
    /// Begins an answer of unknown length.
    std::function<void(int status, const http_headers&)> start;
    /// Sends a part of the body of an answer that was begun.
    std::function<void(std::string_view)> send;
    /// Ends an answer that was begun, as a whole one.
    std::function<void()> finish;
    /// Breaks the answer off, so that the caller sees that it isn't whole.
    std::function<void()> abort;
    /// True once the caller has closed its side.
    std::function<bool()> has_left;
};

/// Ends a call; no handler of it runs after this.
using cancel_call = std::function<void()>;

/// One decision about a request, for the log.
struct delivery_event
{
    event_type what = event_type::sent;
    std::string_view request; ///< id of the request
    std::string peer; ///< the upstream it is about
    std::string detail;
};

/// A moment of a request whose time is measured.
enum class request_moment {
    sent, ///< since the request was read
    first_event, ///< since the request was read; of plain calls, the answer
    next_event, ///< since the event before
    ended ///< since the request was read, whatever came of it
};

/// Times of deliveries. Each stands in docs/design/platform.md with the run that it comes from.
struct delivery_settings
{
    /// An upstream that can't be reached, or isn't the one that was meant, gets nothing new for this long.
    duration suspension = std::chrono::milliseconds(1500);
    /// One that gave no sign of life; its entry is gone by then.
    duration death_suspension = std::chrono::milliseconds(1500);
    /// One that refused a request, mostly for want of room, is passed by for this long.
    duration refusal_pause = std::chrono::milliseconds(250);
    /// One that refuses though less than `max_idle_load` of its room and slots is known to be taken drains
    /// or gives layers up; while the store is away, its entry can't say so. Passed by for so long, for twice
    /// as long at each further refusal, and other hosts are told. Before, eight of 99 engines that drained
    /// while the store was down refused 250 requests a second of 64 hosts, each host for itself, until the
    /// fleet's allowance of retries was used up and 381 callers were sent away in two seconds.
    duration unwilling_pause = std::chrono::milliseconds(1500);
    /// A drain lasts for seconds.
    duration longest_unwilling_pause = std::chrono::seconds(6);
    double max_idle_load = 0.5;
    /// Pause before a path is looked for again while some layer has no holder.
    duration search_pause = std::chrono::milliseconds(25);
    /// Share of the latency objective for which a request without a path is held before it is refused.
    double max_hold_share = 0.2;
    /// The same for a caller who has been sent away or cut off before: refused once more, it would give up.
    /// It leaves by itself after four objectives without an answer.
    double max_returning_hold_share = 3;
    /// A path with an upstream fuller than this isn't used for new requests: one request more would make it
    /// preempt others. Expected answers count whole, so a share of 1 is not yet quite full.
    double max_engine_load = 1.3;
    /// As `sailtiller::most_pipe_share`, by which placement predicts what halls serve together.
    double most_pipe_share = sailtiller::most_pipe_share;
    /// How often a caller is looked at for having left.
    duration look_interval = std::chrono::milliseconds(100);
    /// Told to callers that are refused while a layer has no holder: about the time of one load.
    duration retry_after = std::chrono::milliseconds(1000);
    /// Pause before another path is looked for, when none avoids what is dead.
    duration change_pause = std::chrono::milliseconds(40);
    /// Changes of path that one failure takes without a further pause. Each later one waits for twice as long
    /// as the one before, up to `longest_resend_pause`.
    unsigned immediate_changes = 4;
    /// Sends of one request, refused ones included; beyond it the caller is told to come back.
    unsigned max_sends = 5;
    /// Sends that go out at once. Each later one waits for the first pause, and each for twice the one
    /// before, up to the longest.
    unsigned immediate_sends = 4;
    duration first_resend_pause = std::chrono::milliseconds(60);
    duration longest_resend_pause = std::chrono::milliseconds(400);
    /// A kept connection that had been closed before shows within a round trip, or within the time of one
    /// more send of a lost packet. One that closes later had the request; sent again as it stands, that would
    /// carry the time that was left then.
    duration longest_until_resend = std::chrono::milliseconds(250);
};

struct delivery_order;

/// What every delivery of this host shares. Everything outlives the deliveries.
struct delivery_context
{
    timer_hooks timers;
    request_codec codec;
    /// Sends a request. One that may be repeated may go over a kept connection, and go out again if that
    /// turns out to be closed; any other gets a connection of its own.
    std::function<cancel_call(const endpoint&, const http_request&, bool may_repeat, http_call_handlers)>
        send;
    /// Asks an engine to lead a running request over another path.
    std::function<void(const path_change&, std::function<void(const path_change_answer&)>)> change_path;
    stall_watch& watch;
    const upstream_directory& directory;
    part_loads& loads;
    retry_allowance& retries;
    pipe_meter& pipes;
    /// Requests under which upstreams have ended, known to all hosts.
    crash_suspects& suspects;
    /// Asks the fleet for one trial of a suspect request; answers later.
    std::function<void(const request_content&, const std::function<void(bool is_given)>& on_answer)>
        claim_trial;
    /// This host's part of the requests a second that upstreams say they take.
    limit_holder& limits;
    /// Told each upstream that says in an answer that it leaves.
    std::function<void(const upstream_id&)> on_leaving;
    /// Upstreams that asked this host to send them nothing for a while.
    upstream_pauses& pauses;
    random_function random;
    data_hall_id data_hall;
    /// False while this host can't tell whether its bundle is still the newest.
    std::function<bool()> may_send;
    std::function<void(const delivery_event&)> log;
    delivery_settings settings;
    /// Measures a request's times by its route and account; may be left out.
    std::function<void(const delivery_order&, request_moment, duration)> measure;
    /// Counts a stream that had begun and ended without its last event; may be left out.
    std::function<void(stream_end)> count_end;
};

/// A request with what the bundle says of it.
struct delivery_order
{
    caller_request request;
    std::shared_ptr<const site_bundle> bundle; ///< kept to the request's end
    const service_route* route = nullptr; ///< of the bundle
    std::optional<client_account_id> account;
    std::optional<int> priority;
    service_id service;
    time_point arrived{}; ///< when the request was read

    /// The moment at which the request gets its final answer at the latest.
    [[nodiscard]] time_point deadline() const;
    /// For the log: the limit that `deadline` is made of, and who set it.
    [[nodiscard]] std::string describe_time_limit() const;
    /// Until when the request is held while nothing can take it.
    [[nodiscard]] time_point hold_end(const delivery_settings& settings) const;
    /// True if the caller has tried before: it goes on after an event, or has waited for a part of its time.
    [[nodiscard]] bool is_returning_caller() const;
    /// How long an engine is waited for that is asked to change the path of this running request.
    [[nodiscard]] duration path_change_limit() const;
    /// True if one more upstream may run the request, after `runs` that have begun it.
    [[nodiscard]] bool may_run_again(unsigned runs) const;
    /// What tells that another try, with an id of its own, is the same request. Reads the whole body: some
    /// microseconds.
    [[nodiscard]] request_content content() const;
    /// The request as it goes to this upstream, without a path.
    [[nodiscard]] upstream_request make_request(const upstream_id& target, time_point now) const;
};

/// Told to callers whose requests are under way when their host ends.
constexpr const char* host_stopping_reason = "this host stops and can wait for no answer any more";

/// Measures a moment of the request now, counted from when it was read.
void measure_since_arrival(
    const delivery_context& context, const delivery_order& order, request_moment moment);
/// Keeps new work for a while away from an upstream that refused a request.
void avoid_after_refusal(const delivery_context& context, const upstream_id& id);
/// The same for one that has room, as far as this host knows.
void avoid_unwilling(const delivery_context& context, const upstream_id& id);
/// Notes that an upstream ran a request and failed.
void note_failure(const delivery_context& context, const upstream_id& id);
/// Takes over what an upstream says of itself in the head of its answer to a request that was sent at `sent`.
void note_answer(
    const delivery_context& context, const upstream_id& id, const upstream_answer& answer, time_point sent);
/// A refusal that says truthfully that the request has not run, and when to come back.
http_response make_refusal(duration retry_after, const std::string& reason);
/// An answer of ours that promises nothing about whether the request has run.
http_response make_failure(int status, const std::string& reason);
/// The answer to a request that no upstream takes, after `runs` that began it: it is told to come back,
/// unless it has run and may not be repeated.
http_response make_last_answer(
    const delivery_order& order, unsigned runs, duration retry_after, const std::string& reason);

} // namespace sailtiller
