// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/json.h>
#include <entry/callererror.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Advice to the caller whether to send the request again (docs/operators/outcomes.md).
std::string advice_for(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::not_run:
        return "It was not run; it is safe to send it again.";
    case request_outcome::unknown:
        return "It may have run; send it again only if running it twice does no harm.";
    case request_outcome::failed:
        return "It ran and would fail on any host; change it before sending it again.";
    }
    return "";
}

} // namespace

std::string error_body(const caller_error& item)
{
    const json code = item.code.empty() ? json(nullptr) : json(item.code);
    const json param = item.param.empty() ? json(nullptr) : json(item.param);
    const json body = {{"error",
        {{"message", item.message}, {"type", item.type}, {"code", code}, {"param", param},
            {"outcome", to_text(item.outcome)}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response error_response(const caller_error& item, const http_headers& base)
{
    http_response response{item.status, base, error_body(item)};
    response.headers.push_back({"content-type", "application/json"});
    response.headers.push_back({"x-sailtiller-outcome", to_text(item.outcome)});
    if (item.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*item.retry_after).count();
        response.headers.push_back({"retry-after", std::to_string(std::max<std::int64_t>(1, seconds))});
    }
    return response;
}

caller_error to_caller_error(const request_failure& failure)
{
    caller_error item;
    const bool is_not_run = failure.outcome == request_outcome::not_run;
    const bool has_failed = failure.outcome == request_outcome::failed;
    item.status = is_not_run ? http_status::unavailable
        : has_failed         ? http_status::unprocessable
                             : http_status::bad_gateway;
    item.type = has_failed ? "invalid_request_error" : "server_error";
    item.code = is_not_run ? "no_upstream" : has_failed ? "request_failed" : "upstream_failed";
    item.message = failure.origin.step + (failure.origin.peer.empty() ? "" : " (" + failure.origin.peer + ")")
        + ": " + failure.reason + ". " + advice_for(failure.outcome);
    item.outcome = failure.outcome;
    item.retry_after = failure.retry_after;
    if (is_not_run && !item.retry_after) {
        item.retry_after = std::chrono::seconds(1);
    }
    return item;
}

} // namespace sailtiller
