// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/strongtype.h>

namespace sailtiller {

/// Names from the bundle and the settings.
using host_id = strong_type<struct host_id_tag, std::string>;
using data_hall_id = strong_type<struct data_hall_id_tag, std::string>;
using client_account_id = strong_type<struct client_account_id_tag, std::string>;
using upstream_id = strong_type<struct upstream_id_tag, std::string>;
using model_id = strong_type<struct model_id_tag, std::string>;
using service_id = strong_type<struct service_id_tag, std::string>;
using policy_id = strong_type<struct policy_id_tag, std::string>;
using class_id = strong_type<struct class_id_tag, std::string>;

/// One caller's request, unique over the fleet; told to the caller in the `x-request-id` header.
using request_id = strong_type<struct request_id_tag, std::string>;
/// What a caller asks, whoever counts its tries: a digest over path, client account and body, in lower-case
/// hexadecimal. Tries of one request have ids of their own and share this.
using request_content = strong_type<struct request_content_tag, std::string>;
/// A part of prompts that requests share, in lower-case hexadecimal.
using prompt_part_id = strong_type<struct prompt_part_id_tag, std::string>;
/// One generation of tokens on the engines; a request of a model has exactly one.
using stream_id = strong_type<struct stream_id_tag, std::string>;
/// Counts the tries of one stream from 1; an answer of an older try is stale.
using attempt_number = strong_type<struct attempt_number_tag, std::uint32_t>;
/// Index of a generated token in its stream, from 0.
using token_position = strong_type<struct token_position_tag, std::uint32_t>;
/// Index of a model's layer, from 0.
using layer_index = strong_type<struct layer_index_tag, std::uint32_t>;

/// Id of a server-sent event, chosen by the upstream. It identifies an event and isn't computed with, so it
/// is kept as the text that was received.
using event_id = strong_type<struct event_id_tag, std::string>;

/// Counts the accepted activations of a deployment from 1; 0 means that none is in force.
using generation_number = strong_type<struct generation_number_tag, std::uint64_t>;
/// Position of a record in the platform's log.
using log_offset = strong_type<struct log_offset_tag, std::uint64_t>;
/// Content address of a bundle part: SHA-256 in lower-case hexadecimal.
using part_digest = strong_type<struct part_digest_tag, std::string>;
/// Unique id of one activation record, drawn at random by the operator's program.
using activation_id = strong_type<struct activation_id_tag, std::string>;

/// An IPv4 or IPv6 number with a port, as "127.0.0.1:8080" or "[::1]:8080".
using endpoint = strong_type<struct endpoint_tag, std::string>;

/// A closed range of layers [first, last] that one stage runs.
struct layer_range
{
    layer_index first;
    layer_index last;

    auto operator<=>(const layer_range&) const = default;
    [[nodiscard]] std::uint32_t count() const { return this->last.value() - this->first.value() + 1; }
};

} // namespace sailtiller
