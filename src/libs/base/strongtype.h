// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sailtiller {

/// A value of type `Value` that can't be mixed up with one of another `Tag`.
/// Used for every id and unit, so that the compiler rejects an upstream's id where an account's is meant.
template <typename Tag, typename Value>
class strong_type
{
public:
    using value_type = Value;

    strong_type() = default;
    explicit strong_type(Value value)
        : inner(std::move(value))
    {
    }

    [[nodiscard]] const Value& value() const { return this->inner; }

    auto operator<=>(const strong_type&) const = default;

private:
    Value inner{};
};

template <typename Tag, typename Value>
std::ostream& operator<<(std::ostream& out, const strong_type<Tag, Value>& item)
{
    return out << item.value();
}

} // namespace sailtiller

template <typename Tag, typename Value>
struct std::hash<sailtiller::strong_type<Tag, Value>>
{
    std::size_t operator()(const sailtiller::strong_type<Tag, Value>& item) const
    {
        return std::hash<Value>{}(item.value());
    }
};
