// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <engines/sendfailure.h>

#include <charconv>

namespace sailtiller {

send_failure to_send_failure(const http_failure& failure, const std::string& peer)
{
    send_failure result;
    result.certainty =
        failure.progress == http_progress::not_sent ? send_certainty::not_sent : send_certainty::may_have_run;
    result.origin = {failure.step, peer};
    result.reason = failure.reason;
    return result;
}

bool is_refusal(const http_response& response)
{
    if (response.status == http_status::too_many_requests) {
        return true;
    }
    return response.status == http_status::unavailable
        && find_header(response.headers, "x-not-run") == "true";
}

std::optional<duration> retry_after_of(const http_response& response)
{
    const std::optional<std::string> text = find_header(response.headers, "retry-after");
    if (!text) {
        return std::nullopt;
    }
    constexpr int max_seconds = 86'400;
    int seconds = 0;
    const char* end = text->data() + text->size();
    const auto [stop, failure] = std::from_chars(text->data(), end, seconds);
    if (failure != std::errc() || stop != end || seconds < 0 || seconds > max_seconds) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace sailtiller
