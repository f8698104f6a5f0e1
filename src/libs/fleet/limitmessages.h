// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/json.h>
#include <fleet/upstreamlimits.h>

#include <string>

namespace sailtiller {

/// Method by which a host queries an allocator for requests of an upstream's limit.
constexpr const char* limit_query_method = "site-limit";

/// Query to the allocator of an upstream's limit.
struct limit_query
{
    host_id holder;
    duration uptime{}; ///< of the holder
    limit_statement statement; ///< the holder's latest statement of the limit
    unsigned wanted = 0; ///< requests that the holder would send now
};

/// Answer to a `limit_query`.
struct limit_grant
{
    bool is_allocator = true; ///< false: this host grants nothing now, and another one has to be queried
    unsigned granted = 0;
    duration wait{}; ///< until the next query
    limit_statement statement; ///< the allocator's latest statement of the limit
};

/// Encodes a statement as part of a message between hosts; the reader throws `json::exception`.
json write_limit_statement(const limit_statement& statement);
limit_statement read_limit_statement(const json& item);

/// All messages are CBOR; the decoders throw `error` if the bytes are malformed.
std::string encode_limit_query(const limit_query& question);
limit_query decode_limit_query(const std::string& bytes);
std::string encode_limit_grant(const limit_grant& grant);
limit_grant decode_limit_grant(const std::string& bytes);

} // namespace sailtiller
