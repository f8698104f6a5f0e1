// SPDX-License-Identifier: Apache-2.0
#include <fleet/bundlemessages.h>
#include <fleet/cbormessage.h>

namespace sailtiller {

std::string encode_bundle_query(const std::vector<part_digest>& wanted)
{
    json digests = json::array();
    for (const part_digest& digest : wanted) {
        digests.push_back(digest.value());
    }
    return to_cbor(digests);
}

std::vector<part_digest> decode_bundle_query(const std::string& bytes)
{
    return decode_cbor("read bundle question", bytes, [](const json& item) {
        std::vector<part_digest> wanted;
        for (const json& digest : item) {
            wanted.emplace_back(digest.get<std::string>());
        }
        return wanted;
    });
}

std::string encode_bundle_state(const peer_bundle_state& state)
{
    return to_cbor({{"snapshot", to_json(state.snapshot)}, {"parts", state.parts}});
}

peer_bundle_state decode_bundle_state(const std::string& bytes)
{
    return decode_cbor("read bundle state", bytes, [](const json& item) {
        return peer_bundle_state{activation_snapshot_from_json(item.at("snapshot")),
            item.at("parts").get<std::vector<std::string>>()};
    });
}

} // namespace sailtiller
