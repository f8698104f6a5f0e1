// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/httpmessage.h>
#include <base/ids.h>

#include <optional>

namespace sailtiller {

/// Address and layer range of one stage of a request's path. Plain services have no path.
struct stage_endpoint
{
    endpoint address;
    unsigned first_layer = 0;
    unsigned end_layer = 0; ///< one past the last layer
};

/// Maximum number of parts of a prompt that are read; a caller may name any number.
constexpr std::size_t max_shared_parts = 64;
/// Maximum length of a part's id in hexadecimal digits; longer ones are not read.
constexpr std::size_t max_part_id_length = 64;

/// Decoded request of a caller.
struct caller_request
{
    request_id id; ///< chosen by the caller; differs for each retry
    std::string method;
    std::string path; ///< including the query, as sent
    std::string host; ///< virtual host
    message_body body;
    std::optional<std::string> key; ///< API key that identifies the client account
    std::optional<duration> time_limit; ///< time that the caller waits for the answer
    std::optional<event_id> last_event; ///< resumes the stream after this event; as the caller sent it
    double prompt_tokens = 0;
    double max_answer_tokens = 0;
    std::optional<double> predicted_answer_tokens; ///< median estimate, with a wide spread
    /// Parts of the prompt that other requests may share, in order and each once; without the last part,
    /// which is the request's or its session's own. At most `max_shared_parts`.
    std::vector<prompt_part_id> shared_parts;
    http_headers passed_on; ///< headers forwarded to the upstream unchanged
    std::vector<std::string> unreadable_headers; ///< numbers that can't be read; they count as absent
};

/// Upstream to which a call goes.
struct upstream_target
{
    upstream_id id;
    endpoint address;
    request_id request{}; ///< caller's request behind the call, for the log; empty if there is none
};

/// Parameters of one send of a request to an upstream.
struct upstream_request
{
    upstream_id target; ///< another upstream at the same address must refuse the request
    std::optional<client_account_id> account;
    duration time_left{};
    std::optional<event_id> last_event;
    std::optional<int> priority; ///< 0 is the highest priority
    std::vector<stage_endpoint> path; ///< empty if the target runs the request alone
};

/// Decoded head of an upstream's answer.
struct upstream_answer
{
    int status = 0;
    request_id id; ///< of the answered request; empty if absent
    bool is_not_run = false; ///< the upstream reports that it did not run the request
    bool is_signed = false; ///< carries the signature that proves it was made by an upstream
    std::optional<endpoint> at_fault; ///< upstream of the path that refused or failed
    /// Limit on requests per second from all hosts together, valid while answers carry it; empty if there is
    /// none.
    std::optional<double> requests_per_second;
    bool is_limit_unusable = false; ///< the answer carries a malformed limit
    /// Time during which the refusing upstream accepts no requests from this host.
    std::optional<duration> pause;
    bool is_pause_unusable = false; ///< the answer carries a malformed pause
    bool is_leaving = false; ///< the upstream announces its shutdown
    http_headers passed_on; ///< headers forwarded to the caller unchanged
};

/// Request to the head of a running request to continue on another path with the same first stage.
struct path_change
{
    upstream_id head;
    endpoint address; ///< of the head
    request_id request;
    std::vector<stage_endpoint> path;
    duration limit{}; ///< time after which a missing answer counts as a failure
};

/// Result of a path change.
enum class path_change_result {
    changed,
    stage_refused, ///< a stage of the new path is missing or has no free capacity
    unknown_request, ///< the head has not started the request, or has finished it
    failed ///< no answer, or an unexpected status
};

/// Text used in the log.
std::string_view name_of(path_change_result result);

/// Answer of the head to a path change.
struct path_change_answer
{
    path_change_result result = path_change_result::failed;
    std::optional<endpoint> at_fault; ///< stage that refused
    std::string failure{}; ///< reason of a failed change, for the log
};

/// Conversion of requests and answers from and to their wire format.
struct request_codec
{
    std::function<caller_request(const http_request&)> decode_request;
    std::function<http_request(const caller_request&, const upstream_request&)> encode_request;
    std::function<upstream_answer(int status, const http_headers&)> decode_answer;
    std::function<http_request(const path_change&)> encode_path_change;
    std::function<path_change_answer(const http_response&)> decode_path_change;
};

} // namespace sailtiller
