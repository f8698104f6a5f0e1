// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/error.h>
#include <base/json.h>

namespace sailtiller {

/// JSON as CBOR bytes, the form of every message between hosts.
inline std::string to_cbor(const json& item)
{
    std::string bytes;
    json::to_cbor(item, bytes);
    return bytes;
}

/// Decodes CBOR bytes by `decode`; throws `error` with the step if they are malformed or of another shape.
template <typename Decode>
auto decode_cbor(const char* step, const std::string& bytes, const Decode& decode)
{
    try {
        return decode(json::from_cbor(bytes));
    } catch (const json::exception& malformed) {
        throw error({step, ""}, std::string("malformed: ") + malformed.what());
    }
}

} // namespace sailtiller
