// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/plannedstop.h>
#include <entry/completionexchange.h>
#include <entry/serviceexchange.h>

#include <unordered_map>

namespace sailtiller {

/// Serves the API for callers: authenticates each request, admits or refuses it, and runs it.
class entry_service
{
public:
    /// `post` runs an action after the current callback has returned.
    entry_service(entry_context context, std::function<void(std::function<void()>)> post);

    /// Sets the bundle for requests that start from now on.
    void set_state(std::shared_ptr<const serving_state> state) { this->state = std::move(state); }
    [[nodiscard]] const std::shared_ptr<const serving_state>& current_state() const { return this->state; }
    void handle(const std::shared_ptr<http_exchange>& exchange);
    [[nodiscard]] std::size_t requests_in_flight() const { return this->under_way.size(); }
    /// Starts a planned stop: new requests are refused once `grace` has passed.
    void begin_stop(duration grace, duration answering)
    {
        this->stop.begin(this->context.timers.now(), grace, answering);
    }
    /// Logs each request in progress at the time limit of the stop.
    void log_aborted_requests() const;

private:
    void refuse(http_exchange& exchange, const request_id& id, const caller_error& reason);
    std::optional<admitted_request> authenticate(const std::shared_ptr<http_exchange>& exchange);
    /// Admits a request within the account's limits and starts it, immediately or after the account's
    /// allocator has answered.
    void admit(admitted_request request, std::function<void(admitted_request)> start);
    /// Refuses a request during a stop, with a short Retry-After so that the caller tries another host.
    void refuse_while_stopping(http_exchange& exchange, const request_id& id);
    void refuse_by_limit(const admitted_request& request, const share_refusal& refusal);
    void start_completion(admitted_request request, const completion_request& wanted);
    void start_service(admitted_request request, const plain_service& service);
    void list_models(const admitted_request& request);
    void run_completion(admitted_request request, completion_kind kind);
    void run_service(admitted_request request, const plain_service& service);
    std::optional<caller_error> check_completion(
        const admitted_request& request, const completion_request& wanted) const;

    entry_context context;
    std::function<void(std::function<void()>)> post;
    std::shared_ptr<const serving_state> state;
    planned_stop stop;
    /// Arrival time of each request without an answer, including those that wait for their account's
    /// allocator.
    std::unordered_map<request_id, time_point> under_way;
    std::unordered_map<request_id, std::unique_ptr<completion_exchange>> completions;
    std::unordered_map<request_id, std::unique_ptr<service_exchange>> service_calls;
};

} // namespace sailtiller
