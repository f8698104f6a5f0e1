// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpcallhandlers.h>
#include <runtime/eventloop.h>

#include <memory>

namespace sailtiller {

/// One request over a connection of its own, its answer passed on as it comes. Unlike h2o's client it tells
/// an orderly close from a reset, which is all that marks the end of an answer without a length.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    /// Connects and sends `request` as it stands; its `host` header is the caller's to give.
    /// A connection that is not there after `connect_limit` counts as not made.
    static std::shared_ptr<http_call> start(event_loop& loop, const endpoint& target,
        const http_request& request, duration connect_limit, http_call_handlers handlers);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Closes the connection; no handler runs after this.
    void cancel();

private:
    struct parser;

    http_call(event_loop& loop, http_call_handlers handlers);
    void connect(const endpoint& target, duration connect_limit);
    void take_connection(const char* failure);
    void take_bytes(const char* failure);
    void parse(std::string_view bytes);
    void end(call_ending ending, const std::string& reason);
    void close();

    event_loop& loop;
    http_call_handlers handlers;
    std::string outgoing;
    struct st_h2o_socket_t* socket = nullptr;
    std::unique_ptr<parser> incoming;
    timer_id connect_timer = 0;
    bool has_ended = false;
    std::shared_ptr<http_call> self; ///< keeps the call while its connection is open
};

} // namespace sailtiller
