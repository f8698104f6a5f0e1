// SPDX-License-Identifier: Apache-2.0
#include <support/partmap.h>

namespace sailtiller::tests {

part_map to_map(const bundle_part_set& set)
{
    part_map parts;
    for (const bundle_part& part : set.parts) {
        parts.emplace(part.digest, part.body);
    }
    return parts;
}

part_lookup lookup_in(const part_map& parts)
{
    return [&parts](const part_digest& digest) {
        const auto found = parts.find(digest);
        return found == parts.end() ? nullptr : &found->second;
    };
}

} // namespace sailtiller::tests
