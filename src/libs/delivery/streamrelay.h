// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <delivery/outcome.h>
#include <delivery/stepmessage.h>
#include <routing/chainpolicy.h>

#include <memory>

namespace sailtiller {

/// Identifies a pending message to an upstream, for cancelling it; 0 means none.
using call_id = std::uint64_t;

/// Dependencies of a stream relay. All hooks return before their callbacks are called.
struct relay_hooks
{
    /// Sends a step and calls exactly one of the callbacks, unless the call is cancelled first.
    std::function<call_id(const stage_option&, const step_request&, std::function<void(const step_answer&)>,
        std::function<void(const send_failure&)>)>
        send_step;
    std::function<void(call_id)> cancel_step;
    /// Allows an upstream to discard its state of an attempt; best effort.
    std::function<void(const stage_option&, const stream_id&, attempt_number)> release;
    /// Chooses a chain that avoids these upstreams.
    std::function<std::optional<chain>(const std::set<upstream_id>&)> choose_chain;
    /// Takes one attempt from the host's retry budget; returns false if it is empty.
    std::function<bool()> take_retry;
    /// Records a decision about this request for `explain`.
    std::function<void(const std::string& step, const std::string& peer, const std::string& reason)> note;
    timer_hooks timers;
};

/// Callbacks for the results of a stream relay.
struct relay_listener
{
    std::function<void(const generated_token&, token_position)> on_token;
    std::function<void()> on_end;
    std::function<void(const request_failure&)> on_failure;
};

/// Request to a model.
struct relay_request
{
    stream_id stream;
    model_id model;
    std::string prompt;
    std::string parameters; ///< the caller's sampling parameters as JSON text
    std::uint32_t most_tokens = 0;
    std::int32_t priority = 0;
    bool is_repeatable = true; ///< false: not resent once it may have run
    bool is_streamed = false; ///< tokens are sent as generated; the caller can't be asked to retry
    time_limits times;
    std::uint32_t most_attempts = 1;
};

/// Counters of a stream relay.
struct relay_counters
{
    std::uint64_t stale_answers = 0;
    std::uint64_t attempts = 0;
    std::uint64_t moves = 0; ///< attempts that continued a started stream
};

/// Runs one stream: each token is processed by the stages of a chain in order. When a stage fails, the stream
/// continues under a new attempt on another chain, from the prompt and the tokens already given to the
/// caller, which receives each token once and in order. The relay holds no reference to itself; the owner
/// destroys it after `on_end` or `on_failure`, not during the call.
class stream_relay
{
public:
    stream_relay(relay_request request, relay_hooks hooks, relay_listener listener);
    ~stream_relay();
    stream_relay(const stream_relay&) = delete;
    stream_relay& operator=(const stream_relay&) = delete;

    void start();
    /// Cancels the current step and releases every stage after the caller has disconnected.
    void cancel();
    [[nodiscard]] bool is_finished() const { return this->finished; }
    [[nodiscard]] const relay_counters& counters() const { return this->counts; }

private:
    void begin_attempt();
    void end_attempt();
    void send_to_stage();
    void expect_answer(duration limit);
    /// Returns the time limit of the current step.
    [[nodiscard]] duration answer_limit() const;
    void handle_answer(call_id awaited, const step_answer& answer);
    void handle_token(const generated_token& made);
    void move_from_leaving();
    void handle_failure(const send_failure& failure);
    void search_chain();
    void handle_timeout();
    void fail(request_outcome outcome, const send_failure& failure);
    void finish();
    [[nodiscard]] step_request make_step() const;
    [[nodiscard]] bool is_expected(const step_answer& answer) const;
    [[nodiscard]] const stage_option& stage() const { return this->stages[this->stage_index]; }

    relay_request request;
    relay_hooks hooks;
    relay_listener listener;
    relay_counters counts;

    chain stages;
    std::size_t stage_index = 0;
    attempt_number attempt{0};
    step_kind kind = step_kind::prefill;
    std::vector<std::string> tokens;
    std::string stage_input;
    std::set<upstream_id> failed_upstreams;
    bool may_have_run = false;
    bool finished = false;
    call_id call = 0;
    std::uint64_t call_serial = 0; ///< distinguishes callbacks of abandoned calls
    time_point step_sent{};
    timer_id step_timer = 0;
    timer_id request_timer = 0;
    std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

} // namespace sailtiller
