// SPDX-License-Identifier: Apache-2.0
#include <store/historyoffset.h>

namespace sailtiller {

namespace {

/// Enough for a thousand records a second over 8,900 years; 65,535 eras are left.
constexpr unsigned number_bits = 48;
constexpr std::uint64_t number_mask = (std::uint64_t(1) << number_bits) - 1;

} // namespace

log_offset make_offset(store_era era, std::uint64_t number)
{
    return log_offset((era.value() << number_bits) | (number & number_mask));
}

store_era era_of(log_offset offset)
{
    return store_era(offset.value() >> number_bits);
}

std::uint64_t number_of(log_offset offset)
{
    return offset.value() & number_mask;
}

} // namespace sailtiller
