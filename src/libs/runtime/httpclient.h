// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>
#include <runtime/eventloop.h>

#include <memory>
#include <optional>

namespace sailtiller {

/// How far a request had got when it failed.
enum class http_progress {
    not_sent, ///< no connection was made, so no byte of the request left this process
    sent ///< the request may have reached the peer
};

/// Why a request brought no whole response.
struct http_failure
{
    http_progress progress = http_progress::sent;
    std::string step;
    std::string reason;
};

/// Largest body of a response that a client holds, of calls that name no other bound. Those to engines carry
/// the activations of a prompt.
constexpr std::size_t max_response_bytes = std::size_t{64} << 20U;

/// What a client takes for a response.
struct http_response_limits
{
    std::size_t max_body_bytes = max_response_bytes; ///< a larger body is a failure
    /// To the end of the response, the connection included; without it, until the call is given up.
    std::optional<duration> time{};
};

/// Settings of a client.
struct http_client_settings
{
    duration connect_time = std::chrono::seconds(2); ///< to make a connection
    duration idle_time = std::chrono::seconds(30); ///< a kept connection is closed after this
};

/// A client over HTTP/1.1 with kept connections for each endpoint. Whole requests and whole responses;
/// callbacks run from the loop, never within a call of the client's.
class http_client
{
public:
    using call_id = std::uint64_t;
    using response_handler = std::function<void(http_response)>;
    using failure_handler = std::function<void(const http_failure&)>;

    http_client(event_loop& loop, http_client_settings settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request; its `peer` and `protocol` are not looked at, and without an `authority` the target's
    /// address is named as the host. Exactly one handler runs, unless the
    /// call is cancelled first. A request is never sent twice.
    call_id send(const endpoint& target, const http_request& request, response_handler on_response,
        failure_handler on_failure, const http_response_limits& limits = {});
    /// Gives a call up; its connection is closed. Calls that have ended are ignored.
    void cancel(call_id call);
    /// Gives a call up that has no answer within its time, see `http_call::give_up`.
    void give_up(call_id call);
    [[nodiscard]] std::size_t calls_in_flight() const;

private:
    struct call;
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace sailtiller
