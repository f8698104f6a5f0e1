// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/json.h>
#include <fleet/upstreamlimits.h>

#include <string>

namespace sailtiller {

/// The question by which a host asks for requests of an upstream's limit, as the method between hosts.
constexpr const char* limit_query_method = "site-limit";

/// What a host asks of the host that shares out an upstream's limit.
struct limit_query
{
    host_id holder;
    duration uptime{}; ///< of the holder
    limit_statement statement; ///< the holder's last word of the limit
    unsigned wanted = 0; ///< requests that it would send now
};

/// The answer to it.
struct limit_grant
{
    bool is_allocator = true; ///< false: this host shares nothing out now, another one has to be asked
    unsigned granted = 0;
    duration wait{}; ///< until it is worth asking again
    limit_statement statement; ///< what this host knows of the limit
};

/// A statement as a part of a message between hosts; the reader throws `json::exception`.
json write_limit_statement(const limit_statement& statement);
limit_statement read_limit_statement(const json& item);

/// All four are CBOR; the readers throw `error` if the bytes have not the shape.
std::string encode_limit_query(const limit_query& question);
limit_query decode_limit_query(const std::string& bytes);
std::string encode_limit_grant(const limit_grant& grant);
limit_grant decode_limit_grant(const std::string& bytes);

} // namespace sailtiller
