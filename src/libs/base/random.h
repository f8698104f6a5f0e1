// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace sailtiller {

/// Gives 64 random bits; tests pass a seeded generator.
using random_function = std::function<std::uint64_t()>;

/// A generator seeded from the system.
random_function make_system_random();
/// A repeatable generator for tests and benchmarks.
random_function make_seeded_random(std::uint64_t seed);
/// An id of 32 hexadecimal digits.
std::string make_random_id(const random_function& random);
/// Stable 64-bit hash (XXH3), the same on every host.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace sailtiller
