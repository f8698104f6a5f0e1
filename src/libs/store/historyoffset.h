// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <base/strongtype.h>

namespace sailtiller {

/// Counts the histories of the store. When it comes back from a copy, records that it had are gone and their
/// offsets are given out again; a new history begins, and the era rises by one.
using store_era = strong_type<struct store_era_tag, std::uint64_t>;

/// An offset of the store's topics holds its era above the record's number, so that any offset of a younger
/// history is higher than each of an older one. Whoever compares offsets, or keeps the highest, then prefers
/// the younger history, and none can take the place of one of another: with the bare numbers, hosts read on
/// at their old offset once the new history had grown past it, and believed a mix of the two.
log_offset make_offset(store_era era, std::uint64_t number);
store_era era_of(log_offset offset);
/// The record's number in its history.
std::uint64_t number_of(log_offset offset);

} // namespace sailtiller
