// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/httpmessage.h>
#include <base/ids.h>

#include <optional>

namespace sailtiller {

/// One span of an upstream's layers on the way of a request; empty for a plain service.
struct stage_endpoint
{
    endpoint address;
    unsigned first_layer = 0;
    unsigned end_layer = 0; ///< the first layer that it does not run
};

/// A caller's request, decoded.
struct caller_request
{
    request_id id; ///< given by the caller; each of its tries has its own
    std::string method;
    std::string path; ///< with the query, as sent
    std::string host; ///< virtual host
    std::string body;
    std::optional<std::string> key; ///< names the client account
    std::optional<duration> time_limit; ///< how long the caller will wait
    std::optional<std::uint64_t> last_event; ///< the stream goes on after this event
    double prompt_tokens = 0;
    double most_answer_tokens = 0;
    std::optional<double> predicted_answer_tokens; ///< right in the median, often far off
    http_headers passed_on; ///< headers that go to the upstream as they are
};

/// A request as it goes to an upstream.
struct upstream_request
{
    upstream_id target; ///< any other upstream at this address must refuse it
    std::optional<client_account_id> account;
    duration time_left{};
    std::optional<std::uint64_t> last_event;
    std::optional<int> priority; ///< 0 is the most urgent
    std::vector<stage_endpoint> path; ///< empty if the target runs it alone
};

/// The head of an upstream's answer, decoded.
struct upstream_answer
{
    int status = 0;
    request_id id; ///< of the request to which it belongs; empty if it names none
    bool is_not_run = false; ///< the upstream says that it did not run the request
    bool is_signed = false; ///< carries the proof that an upstream made it
    std::optional<endpoint> at_fault; ///< the upstream of the path that refused or failed
    /// That it takes from all hosts together, while it says so; nothing if it names no limit.
    std::optional<double> requests_per_second;
    bool is_limit_unusable = false; ///< it names a limit that can't be read
    /// For how long the upstream, which refuses, wants nothing more from this host.
    std::optional<duration> pause;
    bool is_pause_unusable = false; ///< it asks for a pause that can't be read
    bool is_leaving = false; ///< it says that it ends before long
    http_headers passed_on; ///< headers that go to the caller as they are
};

/// Asks the head of a running request to go on over another path with the same first stop.
struct path_change
{
    upstream_id head;
    endpoint address; ///< of the head
    request_id request;
    std::vector<stage_endpoint> path;
    duration limit{}; ///< without an answer by then, it counts as failed
};

/// What came of a path change.
enum class path_change_result {
    changed,
    stage_refused, ///< a part of the new path isn't there or has no room
    unknown_request, ///< the head has not begun it, or has ended it
    failed ///< no answer, or one with an unexpected status
};

/// As it stands in the log.
std::string_view name_of(path_change_result result);

/// The head's answer to a path change.
struct path_change_answer
{
    path_change_result result = path_change_result::failed;
    std::optional<endpoint> at_fault; ///< the part that refused
    std::string failure{}; ///< of a change that failed: why, for the log
};

/// How requests and answers look on the wire.
struct request_codec
{
    std::function<caller_request(const http_request&)> decode_request;
    std::function<http_request(const caller_request&, const upstream_request&)> encode_request;
    std::function<upstream_answer(int status, const http_headers&)> decode_answer;
    std::function<http_request(const path_change&)> encode_path_change;
    std::function<path_change_answer(const http_response&)> decode_path_change;
};

} // namespace sailtiller
