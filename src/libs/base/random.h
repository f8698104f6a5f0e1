// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sailtiller {

/// Gives 64 random bits; tests pass a seeded generator.
using random_function = std::function<std::uint64_t()>;

/// A generator seeded from the system.
random_function make_system_random();
/// A repeatable generator for tests and benchmarks.
random_function make_seeded_random(std::uint64_t seed);
/// An id of 32 hexadecimal digits.
std::string make_random_id(const random_function& random);
/// Draws some of the items without repetition, all of them if there are not more.
template <typename Item>
std::vector<Item> draw_some(std::vector<Item> items, std::size_t count, const random_function& random)
{
    for (std::size_t drawn = 0; drawn < std::min(count, items.size()); ++drawn) {
        std::swap(items[drawn], items[drawn + random() % (items.size() - drawn)]);
    }
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(std::min(count, items.size())), items.end());
    return items;
}
/// Stable 64-bit hash (XXH3), the same on every host.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace sailtiller
