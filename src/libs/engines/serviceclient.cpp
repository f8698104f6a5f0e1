// SPDX-License-Identifier: Apache-2.0
#include <engines/sendfailure.h>
#include <engines/serviceclient.h>

#include <algorithm>
#include <array>

namespace sailtiller {

namespace {

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and those that the HTTP client sets itself. The caller's API
/// key is for sailtiller alone and is not forwarded.
constexpr std::array<std::string_view, 11> unforwarded_headers{"connection", "keep-alive", "proxy-connection",
    "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect", "authorization"};

bool is_forwarded(std::string_view name)
{
    return std::find(unforwarded_headers.begin(), unforwarded_headers.end(), name)
        == unforwarded_headers.end();
}

service_answer to_answer(http_response response)
{
    service_answer answer;
    answer.status = response.status;
    answer.body = std::move(response.body);
    for (http_header& header : response.headers) {
        if (is_forwarded(header.name)) {
            answer.headers.emplace_back(std::move(header.name), std::move(header.value));
        }
    }
    return answer;
}

} // namespace

service_client::service_client(http_client& client)
    : client(client)
{
}

call_id service_client::send(const service_option& target, const http_request& request,
    std::function<void(const service_answer&)> on_answer, std::function<void(const send_failure&)> on_failure)
{
    http_request forwarded = request;
    std::erase_if(forwarded.headers, [](const http_header& header) { return !is_forwarded(header.name); });
    const std::string peer = target.name.value();
    return this->client.send(
        target.address, forwarded,
        [peer, on_answer, on_failure](http_response response) {
            if (is_refusal(response)) {
                on_failure({send_certainty::refused, {"call service", peer},
                    "status " + std::to_string(response.status), retry_after_of(response)});
                return;
            }
            on_answer(to_answer(std::move(response)));
        },
        [peer, on_failure](const http_failure& failure) { on_failure(to_send_failure(failure, peer)); });
}

void service_client::cancel(call_id call)
{
    this->client.cancel(call);
}

} // namespace sailtiller
