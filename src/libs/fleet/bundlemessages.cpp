// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <fleet/bundlemessages.h>

namespace sailtiller {

namespace {

std::string to_cbor(const json& item)
{
    std::string bytes;
    json::to_cbor(item, bytes);
    return bytes;
}

template <typename Decode>
auto decode_or_throw(const char* step, const std::string& bytes, const Decode& decode)
{
    try {
        return decode(json::from_cbor(bytes));
    } catch (const json::exception& malformed) {
        throw error({step, ""}, std::string("malformed: ") + malformed.what());
    }
}

} // namespace

std::string encode_bundle_question(const std::vector<part_digest>& wanted)
{
    json digests = json::array();
    for (const part_digest& digest : wanted) {
        digests.push_back(digest.value());
    }
    return to_cbor(digests);
}

std::vector<part_digest> decode_bundle_question(const std::string& bytes)
{
    return decode_or_throw("read bundle question", bytes, [](const json& item) {
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
    return decode_or_throw("read bundle state", bytes, [](const json& item) {
        return peer_bundle_state{activation_snapshot_from_json(item.at("snapshot")),
            item.at("parts").get<std::vector<std::string>>()};
    });
}

} // namespace sailtiller
