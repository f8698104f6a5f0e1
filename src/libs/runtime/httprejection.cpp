// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/json.h>
#include <runtime/httprejection.h>

#include <cstring>

namespace sailtiller {

namespace {

const char* advice_for(int status)
{
    switch (status) {
    case 400:
        return "the request is malformed; send valid HTTP";
    case 408:
        return "the request came too slowly; send it again";
    case 413:
        return "the body is too large; send a smaller one";
    case http_status::headers_too_large:
        return "the headers are too large; send smaller ones";
    case http_status::unavailable:
        return "the host has no memory left for the request; send it again later";
    case http_status::internal_error:
        return "the host failed at this request; operators find the reason in its log";
    default:
        return "the server refused the request";
    }
}

/// A caller that was refused for want of memory may come back after this.
constexpr const char* memory_retry_seconds = "1";

std::string error_body_of(int status, const char* outcome)
{
    const bool is_ours = status >= http_status::internal_error;
    const json body = {{"error",
        {{"message", advice_for(status)}, {"type", is_ours ? "server_error" : "invalid_request_error"},
            {"code", nullptr}, {"param", nullptr}, {"outcome", outcome}}}};
    return body.dump();
}

/// Replaces the body of h2o's own error answers by ours.
struct rejection_stream
{
    h2o_ostream_t super;
    std::string* body;

    static void send(h2o_ostream_t* self, h2o_req_t* request, h2o_iovec_t*, size_t, h2o_send_state_t state)
    {
        const std::string& body = *reinterpret_cast<rejection_stream*>(self)->body;
        if (state == H2O_SEND_STATE_IN_PROGRESS) {
            h2o_ostream_send_next(self, request, nullptr, 0, state);
            return;
        }
        h2o_iovec_t buffer = h2o_strdup(&request->pool, body.data(), body.size());
        h2o_ostream_send_next(self, request, &buffer, 1, state);
    }
};

} // namespace

http_response make_rejection(int status, const char* outcome)
{
    http_response response{status,
        {{"x-request-id", "none"}, {"content-type", "application/json"}, {"x-sailtiller-outcome", outcome}},
        error_body_of(status, outcome)};
    if (status == http_status::unavailable) {
        response.headers.push_back({"retry-after", memory_retry_seconds});
    }
    return response;
}

std::string write_rejection(int status)
{
    const http_response response = make_rejection(status, "not-run");
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Error\r\nconnection: close\r\n";
    for (const http_header& header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "content-length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

void set_up_rejection(h2o_req_t* request, h2o_ostream_t**& slot)
{
    constexpr int first_error_status = 400;
    if (request->res.status < first_error_status) {
        return;
    }
    auto** memory = static_cast<std::string**>(h2o_mem_alloc_shared(
        &request->pool, sizeof(std::string*), [](void* item) { delete *static_cast<std::string**>(item); }));
    *memory = new std::string(error_body_of(request->res.status, "not-run"));
    request->res.content_length = (*memory)->size();
    const char* type = "application/json";
    h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, type, std::strlen(type), 1);
    auto* stream =
        reinterpret_cast<rejection_stream*>(h2o_add_ostream(request, sizeof(rejection_stream), slot));
    stream->super.do_send = &rejection_stream::send;
    stream->body = *memory;
    slot = &stream->super.next;
}

} // namespace sailtiller
