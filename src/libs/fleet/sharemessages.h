// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <string>
#include <vector>

namespace sailtiller {

/// The question by which a host asks an account's home for a share of its limits, as the method of a peer
/// stream.
constexpr const char* share_query_method = "shares";

/// What a host uses and wants of one account's limits.
struct share_demand
{
    client_account_id account;
    std::uint32_t streams_in_use = 0;
    std::uint32_t streams_wanted = 0; ///< besides those in use
    std::uint32_t requests_wanted = 0; ///< that wait to start now
};

/// One host's demands to one home.
struct share_query
{
    host_id holder;
    std::vector<share_demand> demands;
};

/// What the home grants; streams are valid for one lease, requests may start at once.
struct share_grant
{
    client_account_id account;
    std::uint32_t streams = 0; ///< those in use included
    std::uint32_t requests = 0;
};

/// All four are CBOR; the readers throw `error` if the bytes have not the shape.
std::string encode_share_query(const share_query& question);
share_query decode_share_query(const std::string& bytes);
std::string encode_share_grants(const std::vector<share_grant>& grants);
std::vector<share_grant> decode_share_grants(const std::string& bytes);

} // namespace sailtiller
