// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <bundle/bundleassembler.h>
#include <support/partmap.h>
#include <support/samplebundle.h>

#include <gtest/gtest.h>
#include <set>

namespace sailtiller {

namespace {

using tests::lookup_in;
using tests::part_map;
using tests::to_map;

std::map<std::string, json> by_name(const json& list)
{
    std::map<std::string, json> items;
    for (const json& item : list) {
        items.emplace(item["name"].get<std::string>(), item);
    }
    return items;
}

TEST(bundle_parts, are_put_together_to_the_same_bundle)
{
    const bundle content = tests::make_sample_bundle({.accounts = 300, .models = 3});
    const bundle_part_set set = cut_into_parts(content);
    const part_map parts = to_map(set);
    const bundle again = bundle_assembler().assemble(read_manifest(set.manifest.body), lookup_in(parts));
    const json before = to_json(content);
    const json after = to_json(again);
    for (const char* list : {"accounts", "models", "upstreams", "services"}) {
        EXPECT_EQ(by_name(before[list]), by_name(after[list]));
    }
    EXPECT_EQ(cut_into_parts(again).manifest.digest, set.manifest.digest);
}

TEST(bundle_parts, a_changed_account_changes_one_part)
{
    bundle content = tests::make_sample_bundle({.accounts = 300});
    const part_map before = to_map(cut_into_parts(content));
    content.accounts[17].limits.streams = 7;
    const part_map after = to_map(cut_into_parts(content));
    std::size_t changed = 0;
    for (const auto& [digest, body] : after) {
        changed += before.contains(digest) ? 0 : 1;
    }
    EXPECT_EQ(changed, 1U);
}

TEST(bundle_parts, the_order_of_accounts_and_upstreams_does_not_matter)
{
    bundle content = tests::make_sample_bundle({.accounts = 50});
    const part_digest before = cut_into_parts(content).manifest.digest;
    std::swap(content.accounts[1], content.accounts[40]);
    EXPECT_EQ(cut_into_parts(content).manifest.digest, before);
}

TEST(bundle_parts, a_missing_part_is_named)
{
    const bundle_part_set set = cut_into_parts(tests::make_sample_bundle({}));
    part_map parts = to_map(set);
    const part_digest lost = parts.begin()->first;
    parts.erase(lost);
    const bundle_manifest manifest = read_manifest(set.manifest.body);
    EXPECT_EQ(missing_parts(manifest, lookup_in(parts)), std::vector<part_digest>{lost});
    EXPECT_THROW(bundle_assembler().assemble(manifest, lookup_in(parts)), error);
}

TEST(bundle_parts, an_assembler_that_knows_the_last_bundle_gives_the_next_one_whole)
{
    bundle content = tests::make_sample_bundle({.accounts = 100, .models = 2});
    bundle_assembler assembler;
    for (std::uint32_t round = 0; round < 5; ++round) {
        content.accounts[round].limits.streams = 1000 + round;
        content.times.request += std::chrono::seconds(1);
        const bundle_part_set set = cut_into_parts(content);
        const part_map parts = to_map(set);
        const bundle again = assembler.assemble(read_manifest(set.manifest.body), lookup_in(parts));
        EXPECT_EQ(cut_into_parts(again).manifest.digest, set.manifest.digest);
    }
}

TEST(bundle_parts, a_bundle_without_its_head_or_with_two_is_refused)
{
    const bundle_part_set set = cut_into_parts(tests::make_sample_bundle({}));
    const part_map parts = to_map(set);
    bundle_manifest manifest = read_manifest(set.manifest.body);
    manifest.parts.push_back(set.parts.back().digest);
    EXPECT_THROW(bundle_assembler().assemble(manifest, lookup_in(parts)), error);
    manifest.parts.pop_back();
    manifest.parts.pop_back();
    EXPECT_THROW(bundle_assembler().assemble(manifest, lookup_in(parts)), error);
}

TEST(bundle_parts, a_newer_format_is_refused)
{
    json manifest = json::parse(cut_into_parts(tests::make_sample_bundle({})).manifest.body);
    manifest["format"] = newest_bundle_format + 1;
    EXPECT_THROW(read_manifest(manifest.dump()), error);
}

} // namespace

} // namespace sailtiller
