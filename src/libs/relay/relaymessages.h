// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>
#include <delivery/callerrequest.h>

#include <optional>
#include <string>

namespace sailtiller {

/// A request to an upstream that another host is asked to send. It travels as the request itself with a few
/// headers more.
struct relayed_request
{
    upstream_target target;
    bool may_repeat = false; ///< may go over a kept connection, and once more if that proves to be closed
    http_request message; ///< as the upstream gets it
};

/// Converts a request for the way to the relaying host.
http_request encode_relay_request(const relayed_request& request);
/// Throws `error` if the target is missing or malformed.
relayed_request decode_relay_request(const http_request& message);

/// First part of the answer of an upstream, or why there is none.
struct relay_head
{
    /// Why the upstream did not get the request; empty if it answered.
    std::optional<std::string> failure;
    int status = 0;
    http_headers headers;
};

/// The body of an accepted relay request's answer: an empty line once the request is accepted, a line with
/// the head in JSON once the upstream has answered, then the bytes of the upstream's body.
inline constexpr std::string_view relay_accepted_line = "\n";
std::string encode_relay_head(const relay_head& head);
/// Throws `error` if the line is malformed.
relay_head decode_relay_head(std::string_view line);

/// Splits the body of a relay answer into its lines and the upstream's body.
class relay_answer_reader
{
public:
    /// Takes the next bytes. Returns the head once it is whole; the bytes of the upstream's body after it
    /// are left in `body`. Throws `error` if the bytes are malformed.
    std::optional<relay_head> take(std::string_view bytes, std::string& body);
    [[nodiscard]] bool has_head() const { return this->is_head_read; }

private:
    std::string line;
    bool is_accepted = false;
    bool is_head_read = false;
};

} // namespace sailtiller
