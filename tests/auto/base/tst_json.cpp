// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

TEST(parse_json, finds_a_doubled_field_in_its_own_object_only)
{
    std::vector<json_fault> faults;
    parse_json(R"({"a": {"x": 1}, "b": {"x": 2}})", faults);
    EXPECT_TRUE(faults.empty());
    parse_json(R"({"a": {"x": 1, "x": 2}})", faults);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].path, "/x");
}

TEST(parse_json, tells_where_text_is_malformed)
{
    std::vector<json_fault> faults;
    EXPECT_TRUE(parse_json(R"({"a": )", faults).is_null());
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_NE(faults[0].reason.find("column"), std::string::npos);
}

std::string nest(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// A list of lists in CBOR: 0x81 begins a list of one item, 0x80 is an empty one.
std::string nest_cbor(std::size_t levels)
{
    return std::string(levels - 1, '\x81') + '\x80';
}

// Guards against values that overflow the stack of whoever copies, writes or parses them.
TEST(parse_json, rejects_what_is_nested_too_deep)
{
    EXPECT_EQ(parse_json(nest(max_json_depth)).dump(), nest(max_json_depth));
    for (const std::size_t levels : {max_json_depth + 1, std::size_t{120'000}, std::size_t{4'000'000}}) {
        EXPECT_THROW(parse_json(nest(levels)), json::exception) << levels;
        EXPECT_THROW(parse_json(std::string(levels, '[')), json::exception) << levels;
        std::vector<json_fault> faults;
        EXPECT_TRUE(parse_json("{\"a\":" + nest(levels) + "}", faults).is_null());
        ASSERT_EQ(faults.size(), 1U);
        EXPECT_NE(faults[0].reason.find("levels"), std::string::npos);
        EXPECT_THROW(parse_cbor(nest_cbor(levels)), json::exception) << levels;
    }
    EXPECT_EQ(parse_cbor(nest_cbor(max_json_depth)).dump(), nest(max_json_depth));
}

TEST(parse_json, reads_what_the_library_reads)
{
    const std::string text =
        R"({"a":[1,-2,2.5,null,true,"x",{}],"b":{"c":[[],{"d":"e"}]},"f":18446744073709551615})";
    EXPECT_EQ(parse_json(text), json::parse(text));
    EXPECT_EQ(parse_cbor([&text] {
        std::string bytes;
        json::to_cbor(json::parse(text), bytes);
        return bytes;
    }()),
        json::parse(text));
    EXPECT_EQ(parse_json(R"({"a":1,"a":2})"), json({{"a", 2}}));
    for (const char* malformed : {"", "{", "1e400", "nul", "[1,]", "{} x", "\"\xff\""}) {
        EXPECT_THROW(parse_json(malformed), json::exception) << malformed;
    }
}

// Guards against log lines and messages to other hosts as long as the value that was rejected.
TEST(parse_json, gives_a_short_reason_for_a_long_text)
{
    try {
        parse_json("\"" + std::string(250'000, 'x'));
        FAIL() << "a text without its end was read";
    } catch (const json::exception& malformed) {
        EXPECT_LT(std::string(malformed.what()).size(), 250U);
    }
}

} // namespace

} // namespace sailtiller
