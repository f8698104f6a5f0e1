// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/streamrelay.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// Client of the HTTP protocol of model engines (docs/design/engine-protocol.md).
class engine_client
{
public:
    explicit engine_client(http_client& client);

    call_id send_step(const stage_option& stage, const step_request& step,
        std::function<void(const step_answer&)> on_answer,
        std::function<void(const send_failure&)> on_failure);
    void cancel(call_id call);
    /// Asks an engine to release the state of an attempt. The answer is ignored.
    void release(const stage_option& stage, const stream_id& stream, attempt_number attempt);

private:
    http_client& client;
};

} // namespace sailtiller
