// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>

#include <functional>
#include <string_view>

namespace sailtiller {

/// How a call over HTTP/1.1 ended.
enum class call_ending {
    whole, ///< the answer came to its proper end
    not_connected, ///< no connection was made, so no byte of the request left this process
    /// The connection ended, or the bytes were no HTTP, before the answer's end; or what had gone out over a
    /// kept connection could not go out again.
    broken,
    /// The host by way of which the call went was lost, or said nothing in time. The upstream may have the
    /// request, and has shown no fault.
    relay_lost
};

/// What a call tells its caller; handlers run from the loop, never within `start` or `cancel`.
struct http_call_handlers
{
    /// Asked right before the first byte leaves, which may be long after the call began; false ends the call
    /// as not connected. May be left out.
    std::function<bool()> may_send;
    /// Asked when a kept connection turns out to be closed: true if the request may go out again over a new
    /// one. The peer may have read it before it closed. Left out for what must not run twice.
    std::function<bool()> may_resend;
    /// Status and headers of the final answer.
    std::function<void(int status, const http_headers& headers)> on_head;
    /// Bytes of the body, without any transfer coding.
    std::function<void(std::string_view bytes)> on_body;
    /// The last word of the call.
    std::function<void(call_ending ending, const std::string& reason)> on_end;
};

} // namespace sailtiller
