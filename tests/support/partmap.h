// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundleparts.h>

#include <map>

namespace sailtiller::tests {

/// Bodies of parts by their digests.
using part_map = std::map<part_digest, std::string>;

/// All parts of a set but its manifest.
part_map to_map(const bundle_part_set& set);
/// A lookup in a map that must outlive it.
part_lookup lookup_in(const part_map& parts);

} // namespace sailtiller::tests
