// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <string>
#include <vector>

namespace sailtiller {

/// Method of the peer stream by which a host queries an account's allocator for a share of its limits.
constexpr const char* share_query_method = "shares";

/// Use of and demand for one account's limits by a host.
struct share_demand
{
    client_account_id account;
    std::uint32_t streams_in_use = 0;
    std::uint32_t streams_wanted = 0; ///< in addition to those in use
    std::uint32_t requests_wanted = 0; ///< that wait to start
};

/// Demands of one host to one allocator.
struct share_query
{
    host_id holder;
    std::vector<share_demand> demands;
};

/// Grant of the allocator; streams are valid for one lease, requests may start at once.
struct share_grant
{
    client_account_id account;
    std::uint32_t streams = 0; ///< those in use included
    std::uint32_t requests = 0;
};

/// All messages are CBOR; the decoders throw `error` if the bytes are malformed.
std::string encode_share_query(const share_query& question);
share_query decode_share_query(const std::string& bytes);
std::string encode_share_grants(const std::vector<share_grant>& grants);
std::vector<share_grant> decode_share_grants(const std::string& bytes);

} // namespace sailtiller
