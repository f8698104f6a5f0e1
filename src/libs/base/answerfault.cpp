// SPDX-License-Identifier: Apache-2.0
#include <base/answerfault.h>

namespace sailtiller {

std::string_view name_of(answer_fault fault)
{
    switch (fault) {
    case answer_fault::not_http:
        return "not_http";
    case answer_fault::head_bytes:
        return "head_bytes";
    case answer_fault::interim_heads:
        return "interim_heads";
    case answer_fault::head_time:
        return "head_time";
    case answer_fault::body_bytes:
        return "body_bytes";
    case answer_fault::host_memory:
        return "host_memory";
    case answer_fault::event_bytes:
        return "event_bytes";
    case answer_fault::event_form:
        return "event_form";
    case answer_fault::event_time:
        return "event_time";
    }
    return "unknown";
}

} // namespace sailtiller
