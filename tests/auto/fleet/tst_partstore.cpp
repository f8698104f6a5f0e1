// SPDX-License-Identifier: Apache-2.0
#include <bundle/digest.h>
#include <fleet/partstore.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

TEST(part_store, keeps_what_is_in_force_and_drops_the_oldest_others)
{
    part_store store(10);
    const std::string kept = "kept part, longer than the bound";
    store.keep({digest_of(kept)});
    store.add(kept);
    store.add("aaaaaa");
    store.add("bbbbbb");
    EXPECT_NE(store.find(digest_of(kept)), nullptr);
    EXPECT_EQ(store.find(digest_of("aaaaaa")), nullptr);
    EXPECT_NE(store.find(digest_of("bbbbbb")), nullptr);
    store.keep({digest_of("bbbbbb")});
    EXPECT_EQ(store.find(digest_of(kept)), nullptr);
    EXPECT_EQ(store.bytes(), 6U);
}

} // namespace

} // namespace sailtiller
