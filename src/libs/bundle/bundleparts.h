// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

#include <functional>

namespace sailtiller {

/// A piece of a bundle, kept and moved under its content address.
struct bundle_part
{
    part_digest digest;
    std::string body; ///< JSON text
};

/// A bundle cut into parts. The manifest lists the others by digest, so its own digest stands for the whole.
struct bundle_part_set
{
    bundle_part manifest;
    std::vector<bundle_part> parts;
};

/// Cuts a bundle so that a change of one account, upstream or model changes one small part and the manifest.
/// Accounts and upstreams lie in buckets chosen by a stable hash of their names; empty buckets are left out.
bundle_part_set cut_into_parts(const bundle& content);

/// Gives a part's body, or null if it isn't held.
using part_lookup = std::function<const std::string*(const part_digest&)>;

/// What a manifest says.
struct bundle_manifest
{
    std::string name;
    std::uint32_t required_sign_offs = 1;
    std::vector<part_digest> parts;
};

/// Reads a manifest. Throws `error` if it is malformed or of a newer format.
bundle_manifest read_manifest(std::string_view body);

/// The digests that a manifest lists and `lookup` doesn't hold.
std::vector<part_digest> missing_parts(const bundle_manifest& manifest, const part_lookup& lookup);

} // namespace sailtiller
