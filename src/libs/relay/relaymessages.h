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
    bool takes_keep_alive = false; ///< the answer may contain keep-alive lines
    http_request message; ///< as the upstream gets it
};

/// Converts a request for the way to the relaying host.
http_request encode_relay_request(const relayed_request& request);
/// Throws `error` if the target is missing or malformed.
relayed_request decode_relay_request(const http_request& message);

/// Marks the refusal of a host that can't connect to the upstream's group itself.
http_header make_no_way_header();
bool tells_no_way(const http_headers& headers);

/// First part of the answer of an upstream, or why there is none.
struct relay_head
{
    /// Why the upstream did not get the request; empty if it answered.
    std::optional<std::string> failure;
    int status = 0;
    http_headers headers;
};

/// How the upstream's answer ended.
struct relay_end
{
    bool is_whole = false;
    std::string reason; ///< why it is not whole, for the log
};

/// The body of an accepted relay request's answer: an empty line once the request is accepted; a line with
/// the head in JSON once the upstream has answered; the upstream's body in parts, each behind a line with its
/// length in bytes; a line that tells how it ended. An answer without its last line is one whose relaying
/// host was lost, which says nothing of the upstream. Keep-alive lines may stand between these while the
/// upstream is silent, if the request allows them; the answer's headers tell whether they come.
inline constexpr std::string_view relay_accepted_line = "\n";
inline constexpr std::string_view relay_keep_alive_line = ":\n";
/// Header of an answer that contains a keep-alive line whenever it would be silent for longer than a fraction
/// of `relay_client_settings::silence_limit`. Relaying hosts of older releases send none.
http_header make_keep_alive_header();
bool announces_keep_alive(const http_headers& headers);
std::string encode_relay_head(const relay_head& head);
std::string encode_relay_body(std::string_view bytes);
std::string encode_relay_end(const relay_end& end);

/// What some bytes of a relay answer hold.
struct relay_answer_part
{
    std::optional<relay_head> head;
    std::string body; ///< of the upstream
    std::optional<relay_end> end;
};

/// Splits the body of a relay answer into its lines and the upstream's body.
class relay_answer_reader
{
public:
    /// Takes the next bytes. Throws `error` if they are malformed.
    relay_answer_part take(std::string_view bytes);

private:
    /// Returns the next line without its end, or nothing until it is whole; removes what was read.
    std::optional<std::string> take_line(std::string_view& bytes);
    void read_line(std::string_view text, relay_answer_part& part);

    std::string line;
    std::size_t left_of_part = 0; ///< bytes
    bool is_accepted = false;
    bool has_head = false;
    bool has_ended = false;
};

} // namespace sailtiller
