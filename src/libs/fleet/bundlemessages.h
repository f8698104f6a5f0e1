// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/activationrecord.h>

#include <string>
#include <vector>

namespace sailtiller {

/// Method of the peer stream by which a host queries a peer for the bundle in force.
constexpr const char* bundle_query = "bundle";

/// A peer's state of the bundle in force.
struct peer_bundle_state
{
    activation_snapshot snapshot;
    std::vector<std::string> parts; ///< bodies of the requested parts that the peer holds
};

/// All messages are CBOR; the decoders throw `error` if the bytes are malformed.
std::string encode_bundle_query(const std::vector<part_digest>& wanted);
std::vector<part_digest> decode_bundle_query(const std::string& bytes);
std::string encode_bundle_state(const peer_bundle_state& state);
peer_bundle_state decode_bundle_state(const std::string& bytes);

} // namespace sailtiller
