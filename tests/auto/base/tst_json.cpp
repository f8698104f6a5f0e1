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

} // namespace

} // namespace sailtiller
