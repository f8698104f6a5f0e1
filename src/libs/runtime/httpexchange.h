// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>
#include <base/memorybudget.h>
#include <runtime/eventloop.h>

#include <functional>
#include <memory>

struct st_h2o_req_t;

namespace sailtiller {

struct connection_entry;

/// What the exchanges of a server share.
struct exchange_context
{
    /// Once it is set, the connection of an answer ends with it.
    std::shared_ptr<const bool> is_closing;
    /// For bodies and answers that wait for their callers.
    std::shared_ptr<memory_budget> memory;
};

/// Most of a started answer that waits for its caller. Answers that are streamed are far smaller, so a caller
/// that reads one late gets it whole; beyond this, the answer is cut.
constexpr std::size_t max_unread_bytes = std::size_t{8} << 20U;

/// One request of a caller and the answer to it, over HTTP/1.1 or HTTP/2. Kept by whoever answers; when the
/// caller goes away first, the exchange stays valid and drops what is sent to it.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// Takes over a request of h2o's; only the server makes exchanges.
    static std::shared_ptr<http_exchange> create(st_h2o_req_t* native, exchange_context context);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    [[nodiscard]] const http_request& request() const { return this->incoming; }
    /// True if there was no memory for the request, whose body is left out then: it must be refused.
    [[nodiscard]] bool lacks_memory() const { return this->has_no_room; }

    /// Answers at once.
    void respond(http_response response);
    /// Begins an answer of unknown length.
    void start(int status, const http_headers& headers);
    /// Sends a part of the body; parts are queued while the caller is slow, up to `max_unread_bytes`.
    void send(std::string_view bytes);
    /// Ends the body.
    void finish();
    /// Breaks the answer off, so that the caller sees that it isn't whole.
    void abort();

    /// Calls `action` once if the caller goes away before the answer is finished.
    void when_abandoned(std::function<void()> action) { this->on_abandoned = std::move(action); }
    /// True if the caller has closed its side, or was cut as it reads too slowly. Over HTTP/1.1 h2o doesn't
    /// watch for that, so it is asked here.
    [[nodiscard]] bool has_caller_left() const;
    [[nodiscard]] bool is_started() const { return this->started; }
    /// Bytes queued for a slow caller.
    [[nodiscard]] std::size_t queued() const { return this->pending.size(); }

private:
    struct generator;

    http_exchange(st_h2o_req_t* native, exchange_context context);
    void read_body();
    /// Counts the parts of the answer that wait.
    void count_answer();
    /// The connection takes no further request after this answer (HTTP/1.1).
    void close_connection_after();
    void flush();
    /// Drops what waits for a caller that reads too slowly, and closes its connection (HTTP/1.1) or leaves
    /// the end of the stream to `abort` (HTTP/2).
    void cut(const std::string& reason);
    /// Ends a connection over HTTP/1 so that its caller can't take the answer for whole.
    void break_connection();
    void detach();

    http_request incoming;
    st_h2o_req_t* native;
    connection_entry* connection; ///< of the request; there as long as it is
    exchange_context context;
    memory_share held; ///< of the exchange itself and of what waits for its caller
    std::size_t waiting = 0; ///< bytes of the answer that were counted last
    generator* source = nullptr;
    std::string sending; ///< owned by h2o until it asks for more
    std::string pending;
    bool has_no_room = false;
    bool started = false;
    bool is_sending = false;
    bool is_ending = false;
    bool is_aborting = false;
    bool is_done = false;
    bool is_cut = false;
    std::function<void()> on_abandoned;
};

} // namespace sailtiller
