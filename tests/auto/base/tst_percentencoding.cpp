// SPDX-License-Identifier: Apache-2.0
#include <base/httpmessage.h>
#include <base/percentencoding.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

TEST(percent_encoding, keeps_every_byte_apart_from_the_signs_of_a_query)
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes += static_cast<char>(byte);
    }
    const std::string text = percent_encode(bytes);
    EXPECT_EQ(text.find_first_of("&#+? =/\r\n"), std::string::npos);
    EXPECT_EQ(percent_decode(text), bytes);
    EXPECT_EQ(percent_encode("i-7f3a91c2._~"), "i-7f3a91c2._~");
    EXPECT_EQ(percent_encode("R&D 1%"), "R%26D%201%25");
}

TEST(percent_encoding, leaves_what_is_not_encoded)
{
    for (const char* text : {"%", "%4", "%zz", "a%+1", ""}) {
        EXPECT_EQ(percent_decode(text), text);
    }
}

TEST(percent_encoding, is_reversed_in_the_values_of_a_query)
{
    http_request request;
    request.path = "/x?topic=a&after=R%26D%201";
    EXPECT_EQ(request.query_value("after"), "R&D 1");
}

} // namespace

} // namespace sailtiller
