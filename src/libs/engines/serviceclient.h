// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/servicecall.h>
#include <runtime/httpclient.h>

namespace sailtiller {

/// Forwards callers' requests to plain services, and their answers back, without hop-by-hop headers.
class service_client
{
public:
    explicit service_client(http_client& client);

    call_id send(const service_option& target, const http_request& request,
        std::function<void(const service_answer&)> on_answer,
        std::function<void(const send_failure&)> on_failure);
    void cancel(call_id call);

private:
    http_client& client;
};

} // namespace sailtiller
