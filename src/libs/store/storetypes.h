// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/error.h>
#include <base/httpmessage.h>
#include <base/ids.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sailtiller {

/// What lies in the platform's store, by purpose; each is a topic of records with keys.
enum class store_topic {
    bundles, ///< written by operators: the bundle in force
    upstreams, ///< written by the upstreams: one entry for each start of one
    hosts, ///< written by our hosts: where each can be reached
    suspects ///< written by our hosts: requests that are suspect of ending upstreams, and their trials
};

/// One change of a key.
struct keyed_record
{
    std::string key;
    std::optional<std::string> value; ///< nothing: the key is dropped
};

/// The newest record of each key.
struct newest_page
{
    std::vector<keyed_record> records;
    std::optional<std::string> continue_after; ///< there are more, after this key
    log_offset end; ///< the records that follow start here
};

/// Records in the order in which they were written.
struct record_page
{
    std::vector<keyed_record> records;
    log_offset next; ///< the offset after the last of these records
    log_offset end; ///< the offset after the last record that the store has
    bool is_forgotten = false; ///< the store no longer has the records that were asked for
};

/// Counts the changes of a group's members; the newest is the fencing token of the owner.
using group_generation = strong_type<struct group_generation_tag, std::uint64_t>;

/// A member's place in a group that shares out duties.
struct group_membership
{
    group_generation generation;
    std::vector<unsigned> duties; ///< numbers of the duties that are this member's
};

/// How calls to the store look on the wire. Decoders throw `error` for malformed answers.
struct store_codec
{
    std::function<http_request(store_topic, const std::optional<std::string>& after)> encode_newest;
    std::function<newest_page(const http_response&)> decode_newest;
    std::function<http_request(store_topic, log_offset from, duration wait)> encode_read;
    std::function<record_page(const http_response&, log_offset from)> decode_read;
    std::function<http_request(store_topic, const keyed_record&)> encode_put;
    /// Writes the record only if the topic still ends there.
    std::function<http_request(store_topic, const std::vector<keyed_record>&, log_offset end)> encode_put_at;
    std::function<http_request(const host_id&, duration silence_limit, group_generation)> encode_join;
    std::function<group_membership(const http_response&)> decode_join;
    std::function<http_request(const host_id&, group_generation)> encode_leave;
};

} // namespace sailtiller
