// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <entry/completionformat.h>
#include <entry/entrycontext.h>

namespace sailtiller {

/// Serves one completion request from admission to the last byte of its answer: drives a stream relay and
/// writes its tokens to the caller, streamed or as one body.
class completion_exchange
{
public:
    /// `on_finished` is called once, from the event loop, when the exchange may be destroyed.
    completion_exchange(entry_context& context, admitted_request request, completion_request wanted,
        std::function<void()> on_finished);
    ~completion_exchange();
    completion_exchange(const completion_exchange&) = delete;
    completion_exchange& operator=(const completion_exchange&) = delete;

    void start();

private:
    [[nodiscard]] relay_request make_relay_request() const;
    [[nodiscard]] relay_hooks make_hooks();
    void handle_token(const generated_token& token, token_position position);
    void handle_end();
    void handle_failure(const request_failure& failure);
    void handle_caller_disconnect();
    void close(const std::string& outcome);
    void note(const std::string& step, const std::string& peer, const std::string& reason);

    entry_context& context;
    admitted_request request;
    completion_request wanted;
    std::function<void()> on_finished;
    completion_frame frame;
    std::unique_ptr<stream_relay> relay;
    std::string text;
    std::string finish_reason;
    std::uint32_t tokens = 0;
    time_point last_token_at{};
    bool is_closed = false;
};

} // namespace sailtiller
