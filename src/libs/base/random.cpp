// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>

#include <array>
#include <cstdio>
#include <memory>
#include <random>
#include <xxhash.h>

namespace sailtiller {

random_function make_system_random()
{
    std::random_device device;
    return make_seeded_random((std::uint64_t{device()} << 32U) | device());
}

random_function make_seeded_random(std::uint64_t seed)
{
    return [generator = std::make_shared<std::mt19937_64>(seed)] { return (*generator)(); };
}

std::string make_random_id(const random_function& random)
{
    std::array<char, 33> text{};
    const auto high = static_cast<unsigned long long>(random());
    const auto low = static_cast<unsigned long long>(random());
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return text.data();
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace sailtiller
