// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/activationrecord.h>

#include <string>
#include <vector>

namespace sailtiller {

/// The question by which a host asks a peer for the bundle in force, as the method of a peer stream.
constexpr const char* bundle_query = "bundle";

/// What a peer tells of the bundle in force.
struct peer_bundle_state
{
    activation_snapshot snapshot;
    std::vector<std::string> parts; ///< bodies of the parts that were asked for and that it holds
};

/// All four are CBOR; the readers throw `error` if the bytes have not the shape.
std::string encode_bundle_query(const std::vector<part_digest>& wanted);
std::vector<part_digest> decode_bundle_query(const std::string& bytes);
std::string encode_bundle_state(const peer_bundle_state& state);
peer_bundle_state decode_bundle_state(const std::string& bytes);

} // namespace sailtiller
