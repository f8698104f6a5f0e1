// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/error.h>
#include <base/json.h>

#include <optional>

namespace sailtiller {

/// Encodes JSON as CBOR, the format of all messages between hosts.
inline std::string to_cbor(const json& item)
{
    std::string bytes;
    json::to_cbor(item, bytes);
    return bytes;
}

/// Decodes CBOR bytes with `decode`; throws `error` with the step if they are malformed or lack a field.
template <typename Decode>
auto decode_cbor(const char* step, const std::string& bytes, const Decode& decode)
{
    try {
        return decode(parse_cbor(bytes));
    } catch (const json::exception& malformed) {
        throw error({step, ""}, std::string("malformed: ") + malformed.what());
    }
}

/// Writes null for an empty value.
template <typename Value>
json write_optional(const std::optional<Value>& value)
{
    return value ? json(*value) : json();
}

template <typename Value>
std::optional<Value> read_optional(const json& item)
{
    return item.is_null() ? std::nullopt : std::optional<Value>(item.get<Value>());
}

/// Writes ticks of the loop's clock, or null for an empty value.
inline json write_age(const std::optional<duration>& age)
{
    return age ? json(age->count()) : json();
}

inline std::optional<duration> read_age(const json& item)
{
    return item.is_null() ? std::nullopt : std::optional(duration(item.get<duration::rep>()));
}

} // namespace sailtiller
