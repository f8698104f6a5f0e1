// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <delivery/deliverycontext.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace sailtiller {

namespace {

/// Answers go out a little before the limit, so that they arrive within it.
constexpr duration answer_margin = std::chrono::milliseconds(20);

std::string write_seconds(duration time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace

time_point delivery_order::deadline() const
{
    duration limit = this->route->time_limit;
    if (this->request.time_limit) {
        limit = std::min(limit, *this->request.time_limit);
    }
    return this->arrived + std::max(limit - answer_margin, answer_margin);
}

http_response make_refusal(duration retry_after, const std::string& reason)
{
    return {http_status::unavailable,
        {{"content-type", "text/plain"}, {"retry-after", write_seconds(retry_after)}}, reason + "\n"};
}

http_response make_failure(int status, const std::string& reason)
{
    return {status, {{"content-type", "text/plain"}}, reason + "\n"};
}

} // namespace sailtiller
