// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpexchange.h>

#include <limits>

namespace sailtiller {

/// Limits on what a caller may send.
struct http_server_limits
{
    std::size_t most_body_bytes = 4U << 20U;
    std::size_t most_header_bytes = 32U << 10U; ///< names and values of all headers
    duration request_time = std::chrono::seconds(10); ///< to send the whole request
    /// From the first byte of a request to the end of its headers; without it, `request_time` alone counts.
    std::optional<duration> header_time = std::nullopt;
    /// A kept connection without a request is closed after this; without it, after `request_time`.
    std::optional<duration> idle_time = std::nullopt;
    /// A connection whose caller takes nothing of what waits for it is closed after this. Callers that have
    /// lost their way for a while come back within seconds.
    duration unread_time = std::chrono::seconds(60);
    /// For all that the server holds for its callers, shared with whoever else holds memory for them; without
    /// it, the server has one of its own.
    std::shared_ptr<memory_budget> memory{};
    /// Beyond these, a new connection takes the place of the one that has rested for the longest time.
    std::size_t most_connections = std::numeric_limits<std::size_t>::max();
};

/// The part of a process's memory that may be held for callers and upstreams: half of it. The rest is for the
/// process itself, for what one turn of the loop may read, and for the parts of pages that nothing uses.
std::shared_ptr<memory_budget> make_memory_budget(std::size_t process_bytes);
/// The memory of a process unless its settings say otherwise: what the smallest machines give.
constexpr std::size_t default_process_bytes = 260'000'000;

/// Paths of a certificate chain and its key, in PEM form.
struct tls_files
{
    std::string certificate;
    std::string key;
};

/// A request that h2o refused before it reached the handler, or at which the handler threw.
struct http_server_event
{
    int status = 0; ///< what the caller was told; 0 if its connection ended without a word
    endpoint peer;
    std::string reason;
};

/// h2o's server for HTTP/1.1 and HTTP/2 (by ALPN under TLS, by prior knowledge or upgrade without).
class http_server
{
public:
    using request_handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// Throws `error` if the certificate or the key can't be used.
    http_server(event_loop& loop, const http_server_limits& limits, const std::optional<tls_files>& tls,
        request_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Throws `error` if the address can't be listened on. Port 0 lets the system choose; returns the
    /// address.
    endpoint listen(const endpoint& address);
    /// Holds for all that comes from now on, on open connections too; but the memory stays as it was.
    void set_limits(const http_server_limits& limits);
    /// Called for each answer that the handler did not give, such as to a body that is too large.
    void when_rejected(std::function<void(const http_server_event&)> action);
    /// Takes no new connections; those that are open are closed after their present requests.
    void close_listeners();
    /// From now on, each connection ends with its present answer, also one whose head promised to keep it.
    void close_after_answers();
    /// Closes kept connections that carry no request now. h2o leaves them open until their next request,
    /// which might come when there is no time left to answer it.
    void close_idle_connections();
    [[nodiscard]] std::size_t connection_count() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace sailtiller
