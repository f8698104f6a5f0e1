// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/streamrelay.h>

namespace sailtiller {

/// Answer of a plain service, forwarded to the caller unchanged.
struct service_answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Dependencies of a service call.
struct service_hooks
{
    /// Sends the caller's request and calls exactly one of the callbacks, unless the call is cancelled first.
    std::function<call_id(const service_option&, std::function<void(const service_answer&)>,
        std::function<void(const send_failure&)>)>
        send;
    std::function<void(call_id)> cancel_call;
    std::function<std::optional<service_option>(const std::set<upstream_id>&)> choose_upstream;
    std::function<bool()> take_retry;
    std::function<void(const std::string& step, const std::string& peer, const std::string& reason)> note;
    timer_hooks timers;
};

/// Call of a plain service. Retried on another upstream only if it is repeatable or certainly was not run.
/// The owner destroys it after a callback, not during one.
class service_call
{
public:
    struct request
    {
        service_id service;
        bool is_repeatable = false;
        time_limits times;
        std::uint32_t most_attempts = 1;
    };

    service_call(request call_request, service_hooks hooks,
        std::function<void(const service_answer&)> on_answer,
        std::function<void(const request_failure&)> on_failure);
    ~service_call();
    service_call(const service_call&) = delete;
    service_call& operator=(const service_call&) = delete;

    void start();
    [[nodiscard]] bool is_finished() const { return this->finished; }

private:
    void begin_attempt();
    void end_attempt();
    void handle_answer(const service_answer& answer);
    void handle_failure(const send_failure& failure);
    void fail(const send_failure& failure);

    request call_request;
    service_hooks hooks;
    std::function<void(const service_answer&)> on_answer;
    std::function<void(const request_failure&)> on_failure;
    std::optional<service_option> target;
    std::set<upstream_id> failed_upstreams;
    std::uint32_t attempts = 0;
    bool may_have_run = false;
    bool finished = false;
    call_id call = 0;
    timer_id timer = 0;
    time_point sent_at{};
};

} // namespace sailtiller
