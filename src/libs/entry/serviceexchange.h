// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <entry/entrycontext.h>

namespace sailtiller {

/// Serves one call of a plain service from admission to its answer.
class service_exchange
{
public:
    /// `on_finished` is called once, from the event loop, when the exchange may be destroyed.
    service_exchange(entry_context& context, admitted_request request, const plain_service& service,
        std::function<void()> on_finished);

    void start();

private:
    [[nodiscard]] service_hooks make_hooks();
    void handle_answer(const service_answer& answer);
    void handle_failure(const request_failure& failure);
    void close(const std::string& outcome);

    entry_context& context;
    admitted_request request;
    plain_service service;
    std::function<void()> on_finished;
    std::unique_ptr<service_call> call;
};

} // namespace sailtiller
