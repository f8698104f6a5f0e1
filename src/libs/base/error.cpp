// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>

namespace sailtiller {

namespace {

std::string describe(const error_origin& origin, const std::string& reason)
{
    std::string text = origin.step;
    if (!origin.peer.empty()) {
        text += " (" + origin.peer + ")";
    }
    return text + ": " + reason;
}

} // namespace

error::error(error_origin origin, const std::string& reason)
    : std::runtime_error(describe(origin, reason))
    , origin(std::move(origin))
    , plain_reason(reason)
{
}

} // namespace sailtiller
