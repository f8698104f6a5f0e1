// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/json.h>
#include <engines/engineclient.h>
#include <engines/sendfailure.h>
#include <engines/stepcodec.h>

namespace sailtiller {

namespace {

/// An engine's answer to a release says nothing that is used, and is not waited for.
constexpr http_response_limits release_limits{
    .max_body_bytes = std::size_t{4} << 10U, .time = std::chrono::seconds(1)};
/// Of the body of a failure, for the log.
constexpr std::size_t max_quoted_bytes = 200;

http_request make_request(const std::string& path, std::string body)
{
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers = {{"content-type", "application/octet-stream"}};
    request.body = std::move(body);
    return request;
}

send_certainty certainty_of(const http_response& response)
{
    if (response.status == http_status::unprocessable) {
        return send_certainty::ran_and_failed;
    }
    return is_refusal(response) ? send_certainty::refused : send_certainty::may_have_run;
}

send_failure make_step_failure(const http_response& response, const std::string& peer)
{
    send_failure failure;
    failure.certainty = certainty_of(response);
    failure.origin = {"run step", peer};
    failure.reason = "status " + std::to_string(response.status);
    if (failure.certainty == send_certainty::ran_and_failed) {
        failure.reason += ": " + response.body.substr(0, max_quoted_bytes);
    }
    failure.retry_after = retry_after_of(response);
    return failure;
}

} // namespace

engine_client::engine_client(http_client& client)
    : client(client)
{
}

call_id engine_client::send_step(const stage_option& stage, const step_request& step,
    std::function<void(const step_answer&)> on_answer, std::function<void(const send_failure&)> on_failure)
{
    const std::string peer = stage.holder.value();
    return this->client.send(
        stage.address, make_request("/engine/v1/step", encode_step_request(step)),
        [peer, on_answer, on_failure](const http_response& response) {
            if (response.status != http_status::ok) {
                on_failure(make_step_failure(response, peer));
                return;
            }
            step_answer answer;
            try {
                answer = decode_step_answer(response.body);
            } catch (const error& malformed) {
                on_failure({send_certainty::may_have_run, {"read answer", peer}, malformed.reason(), {}});
                return;
            }
            on_answer(answer);
        },
        [peer, on_failure](const http_failure& failure) { on_failure(to_send_failure(failure, peer)); });
}

void engine_client::cancel(call_id call)
{
    this->client.cancel(call);
}

void engine_client::release(const stage_option& stage, const stream_id& stream, attempt_number attempt)
{
    std::string body;
    json::to_cbor({{"stream", stream.value()}, {"attempt", attempt.value()}}, body);
    this->client.send(
        stage.address, make_request("/engine/v1/release", std::move(body)), [](const http_response&) {},
        [](const http_failure&) {}, release_limits);
}

} // namespace sailtiller
