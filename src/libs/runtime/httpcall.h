// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/answerfault.h>
#include <base/httpcallhandlers.h>
#include <runtime/connectionpool.h>

#include <memory>
#include <optional>

namespace sailtiller {

/// Bounds of what comes before the body of an answer, for calls of any kind. An answer beyond one of them
/// ends its call as broken.
struct answer_head_limits
{
    /// Of the final head and those before it: more than servers send, and less than costs a host anything.
    std::size_t max_bytes = std::size_t{64} << 10U;
    /// Heads before the final one. Requests ask for none; a proxy in between may send some unasked.
    unsigned max_interim = 8;
    /// From the first byte of a head to its last. A server writes a head at once, so this is for packets that
    /// are lost on the way: as long as bytes of this host's may stay unacknowledged.
    duration time = std::chrono::milliseconds(2500);
};

/// How a call gets its connection, and what it takes for an answer.
struct http_call_options
{
    /// A connection that is not there after this counts as not made.
    duration connect_limit = std::chrono::seconds(2);
    /// Kept connections are taken from here and given back; without it, the call has one of its own.
    connection_pool* pool = nullptr;
    /// Address and port (0: any) from which a new connection is made; the system chooses without it.
    std::optional<endpoint> source{};
    /// Told once a new connection was made, or could not be made; optional.
    std::function<void(bool is_made)> on_connection{};
    answer_head_limits head{};
    /// Told why the bytes that came are no answer, before the call ends as broken; optional.
    std::function<void(answer_fault)> on_fault{};
};

/// One request over HTTP/1.1, its answer passed on as it comes. Unlike h2o's client it tells
/// an orderly close from a reset, which is all that marks the end of an answer without a length.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    /// Sends `request` as it stands; its `host` header is the caller's to give.
    static std::shared_ptr<http_call> start(event_loop& loop, const endpoint& target,
        const http_request& request, const http_call_options& options, http_call_handlers handlers);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Closes the connection; no handler runs after this.
    void cancel();
    /// As `cancel`, for a call without answer within its time: without a byte of it, the connections to its
    /// target that were kept when it began are closed too.
    void give_up();

private:
    struct parser;

    http_call(
        event_loop& loop, endpoint target, const http_call_options& options, http_call_handlers handlers);
    void connect();
    void guard(void (http_call::*action)(const char*), const char* failure);
    void take_connection(const char* failure);
    void fail_connection(const std::string& reason);
    void end_without_connection(const std::string& reason);
    void begin_exchange();
    [[nodiscard]] bool may_start_again() const;
    void take_bytes(const char* failure);
    void parse(std::string_view bytes);
    /// Gives bytes to the parser, and ends the call if they complete the answer or are none. `is_last` is
    /// false if more bytes have come.
    void parse_part(std::string_view bytes, bool is_last);
    /// Bounds the time for the rest of a head that has begun.
    void watch_head();
    void fail_answer(answer_fault fault, const std::string& reason);
    void end(call_ending ending, const std::string& reason);
    /// Cancels the call and drops its handlers, which may keep it.
    void abandon();
    void release_socket(bool keeps_it);
    void close(bool keeps_socket = false);

    event_loop& loop;
    endpoint target;
    http_call_options options;
    http_call_handlers handlers;
    std::string head;
    message_body body;
    struct st_h2o_socket_t* socket = nullptr;
    std::unique_ptr<parser> incoming;
    timer_id connect_timer = 0;
    timer_id head_timer = 0;
    work_id work = 0; ///< this call, as the loop knows it
    time_point began{};
    bool is_head_request = false;
    bool is_reused = false; ///< the connection has carried other requests
    bool has_left = false; ///< bytes of the request may have left, over this connection or a former one
    bool is_sent = false; ///< all bytes of the request have left
    bool has_received = false;
    bool has_ended = false;
    std::shared_ptr<http_call> self; ///< keeps the call while its connection is open
};

} // namespace sailtiller
