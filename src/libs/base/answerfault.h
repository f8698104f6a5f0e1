// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace sailtiller {

/// Why the bytes that came for an answer are none, so that its connection was closed.
enum class answer_fault {
    not_http, ///< they don't follow the protocol
    head_bytes, ///< the head is too large
    interim_heads, ///< too many heads came before the final one
    head_time, ///< a head that has begun doesn't end
    body_bytes, ///< the body is larger than an answer to this call can be
    host_memory, ///< the body is large, and this host's memory for the bodies of answers is used up
    event_bytes, ///< an event of a stream is too large
    event_form, ///< an event of a stream isn't one
    event_time ///< an event of a stream that has begun doesn't end
};

/// Text used as a metric label.
std::string_view name_of(answer_fault fault);

} // namespace sailtiller
