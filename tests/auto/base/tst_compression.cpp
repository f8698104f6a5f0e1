// SPDX-License-Identifier: Apache-2.0
#include <base/compression.h>
#include <base/error.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

constexpr std::size_t plenty = 1'000'000;

TEST(compression, text_survives_the_way_there_and_back)
{
    for (const std::string& text :
        {std::string(), std::string("a"), std::string(100'000, 'x'), std::string("\0\1\2", 3)}) {
        EXPECT_EQ(unpack_text(pack_text(text), plenty), text);
    }
    EXPECT_LT(pack_text(std::string(100'000, 'x')).size(), 1000U);
}

TEST(compression, malformed_and_broken_off_bytes_are_named)
{
    const std::string packed = pack_text(std::string(1000, 'x') + "end");
    EXPECT_THROW(unpack_text("no zlib", plenty), error);
    EXPECT_THROW(unpack_text(packed.substr(0, packed.size() - 1), plenty), error);
    EXPECT_THROW(unpack_text("", plenty), error);
}

TEST(compression, text_beyond_the_bound_is_not_unpacked)
{
    EXPECT_EQ(unpack_text(pack_text(std::string(1000, 'x')), 1000).size(), 1000U);
    EXPECT_THROW(unpack_text(pack_text(std::string(1001, 'x')), 1000), error);
    EXPECT_THROW(unpack_text(pack_text(std::string(5'000'000, 'x')), 1000), error);
}

} // namespace

} // namespace sailtiller
