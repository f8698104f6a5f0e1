// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/random.h>
#include <bundle/bundleparts.h>
#include <bundle/digest.h>

#include <algorithm>
#include <array>

namespace sailtiller {

namespace {

/// Buckets for each list that lies in buckets. The bytes that move for one change are about
/// buckets * 67 (the manifest's digests) + items / buckets * 300 (the changed bucket): with 2,800 accounts
/// and 4,800 upstreams the sum is smallest near 128 (measured: docs/CAPACITY.md).
constexpr std::uint64_t bucket_count = 128;
/// Lists whose items each lie in a bucket chosen by the item's name.
constexpr std::array<const char*, 2> bucketed_lists{"accounts", "upstreams"};
/// Lists whose items have a part each, as they are few and large.
constexpr std::array<const char*, 2> single_lists{"models", "services"};

bundle_part make_part(const json& body)
{
    const std::string text = body.dump();
    return {digest_of(text), text};
}

using items_by_name = std::map<std::string, json>;

/// The items of a list by name, so that the parts don't depend on the order in which a file lists them.
items_by_name take_items(json& document, const char* list)
{
    items_by_name items;
    for (json& item : document[list]) {
        std::string name = item["name"].get<std::string>();
        items.emplace(std::move(name), std::move(item));
    }
    document.erase(list);
    return items;
}

void cut_into_buckets(json& document, const char* list, std::vector<bundle_part>& parts)
{
    std::map<std::uint64_t, json> buckets;
    for (auto& [name, item] : take_items(document, list)) {
        const std::uint64_t bucket = stable_hash(name) % bucket_count;
        buckets.try_emplace(bucket, json::array()).first->second.push_back(std::move(item));
    }
    for (const auto& [bucket, items] : buckets) {
        parts.push_back(make_part({{list, items}}));
    }
}

void cut_into_items(json& document, const char* list, std::vector<bundle_part>& parts)
{
    for (const auto& [name, item] : take_items(document, list)) {
        parts.push_back(make_part({{list, json::array({item})}}));
    }
}

} // namespace

bundle_part_set cut_into_parts(const bundle& content)
{
    bundle_part_set set;
    json document = to_json(content);
    for (const char* list : bucketed_lists) {
        cut_into_buckets(document, list, set.parts);
    }
    for (const char* list : single_lists) {
        cut_into_items(document, list, set.parts);
    }
    set.parts.push_back(make_part(document));
    json digests = json::array();
    for (const bundle_part& part : set.parts) {
        digests.push_back(part.digest.value());
    }
    set.manifest = make_part({
        {"format", content.format},
        {"name", content.name},
        {"required_sign_offs", content.required_sign_offs},
        {"parts", digests},
    });
    return set;
}

bundle_manifest read_manifest(std::string_view body)
{
    const error_origin origin{"read manifest", digest_of(body).value()};
    try {
        const json text = parse_json(body);
        if (text.at("format").get<std::uint32_t>() > newest_bundle_format) {
            throw error(origin, "its format is newer than this program reads; upgrade the hosts first");
        }
        bundle_manifest manifest;
        manifest.name = text.at("name").get<std::string>();
        manifest.required_sign_offs = text.at("required_sign_offs").get<std::uint32_t>();
        for (const json& digest : text.at("parts")) {
            manifest.parts.emplace_back(digest.get<std::string>());
        }
        return manifest;
    } catch (const json::exception& malformed) {
        throw error(origin, std::string("malformed: ") + malformed.what());
    }
}

std::vector<part_digest> missing_parts(const bundle_manifest& manifest, const part_lookup& lookup)
{
    std::vector<part_digest> missing;
    for (const part_digest& digest : manifest.parts) {
        if (lookup(digest) == nullptr) {
            missing.push_back(digest);
        }
    }
    return missing;
}

} // namespace sailtiller
