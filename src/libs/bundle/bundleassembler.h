// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundleparts.h>
#include <bundle/bundlereader.h>

#include <memory>
#include <unordered_map>

namespace sailtiller {

/// Puts bundles together from their parts. It keeps the parts of the last bundle in the form in which they
/// were read, so that the next one costs the reading of what has changed.
class bundle_assembler
{
public:
    /// Puts a bundle together and checks it whole.
    /// Throws `error` if a part is missing or malformed, or the bundle has a fault.
    bundle assemble(const bundle_manifest& manifest, const part_lookup& lookup);

private:
    using fragment_pointer = std::shared_ptr<const bundle_fragment>;

    fragment_pointer fragment_of(const part_digest& digest, const part_lookup& lookup) const;

    std::unordered_map<part_digest, fragment_pointer> fragments;
};

} // namespace sailtiller
