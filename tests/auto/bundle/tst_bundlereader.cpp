// SPDX-License-Identifier: Apache-2.0
#include <bundle/bundlereader.h>
#include <support/samplebundle.h>

#include <gtest/gtest.h>
#include <limits>

namespace sailtiller {

namespace {

json sample()
{
    return to_json(tests::make_sample_bundle({}));
}

struct fault_case
{
    const char* name;
    std::function<void(json&)> spoil;
    const char* path;
};

class every_fault : public testing::TestWithParam<fault_case>
{
};

TEST(read_bundle, reads_what_to_json_writes)
{
    const bundle_reading reading = read_bundle(sample());
    EXPECT_TRUE(reading.is_sound()) << describe_faults(reading.faults);
    EXPECT_EQ(to_json(reading.content), sample());
}

TEST_P(every_fault, is_named_with_its_path)
{
    json document = sample();
    GetParam().spoil(document);
    const bundle_reading reading = read_bundle(document);
    ASSERT_FALSE(reading.is_sound());
    bool is_named = false;
    for (const json_fault& fault : reading.faults) {
        is_named = is_named || fault.path == GetParam().path;
    }
    EXPECT_TRUE(is_named) << describe_faults(reading.faults);
}

const std::vector<fault_case> fault_cases{
    {"unknown_field", [](json& item) { item["colour"] = 1; }, "/colour"},
    {"missing_field", [](json& item) { item.erase("models"); }, "/models"},
    {"newer_format", [](json& item) { item["format"] = 2; }, "/format"},
    {"three_sign_offs", [](json& item) { item["required_sign_offs"] = 3; }, "/required_sign_offs"},
    {"negative_limit", [](json& item) { item["accounts"][1]["limits"]["streams"] = -1; },
        "/accounts/1/limits/streams"},
    {"infinite_limit",
        [](json& item) {
            item["accounts"][0]["limits"]["requests_per_second"] = std::numeric_limits<double>::infinity();
        },
        "/accounts/0/limits/requests_per_second"},
    {"bad_key_digest", [](json& item) { item["accounts"][0]["key_digests"][0] = "secret"; },
        "/accounts/0/key_digests"},
    {"key_of_two_accounts",
        [](json& item) { item["accounts"][1]["key_digests"] = item["accounts"][0]["key_digests"]; },
        "/accounts/1/key_digests"},
    {"doubled_name", [](json& item) { item["accounts"][1]["name"] = "account-0"; }, "/accounts/1/name"},
    {"dangling_policy", [](json& item) { item["accounts"][0]["policy"] = "none"; }, "/accounts/0/policy"},
    {"dangling_default", [](json& item) { item["default_policy"] = "none"; }, "/default_policy"},
    {"dangling_holder", [](json& item) { item["models"][0]["holders"][0]["upstream"] = "none"; },
        "/models/0/holders"},
    {"gap_in_layers",
        [](json& item) {
            item["models"][0]["holders"][0]["last_layer"] = 2;
            item["models"][0]["holders"][1]["last_layer"] = 2;
        },
        "/models/0/holders"},
    {"layer_outside", [](json& item) { item["models"][0]["holders"][3]["last_layer"] = 8; },
        "/models/0/holders"},
    {"bad_address", [](json& item) { item["upstreams"][0]["address"] = "engine.example:80"; },
        "/upstreams/0/address"},
    {"step_longer_than_request", [](json& item) { item["time_limits"]["step_ms"] = 3'600'000; },
        "/time_limits/step_ms"},
    {"wrong_type", [](json& item) { item["models"][0]["layers"] = "eight"; }, "/models/0/layers"},
    {"service_within_the_api",
        [](json& item) {
            item["services"].push_back({{"name", "s"}, {"path_prefix", "/v1/s/"},
                {"upstreams", {item["upstreams"][0]["name"]}}, {"repeatable_methods", {"GET"}}});
        },
        "/services/0/path_prefix"},
};

INSTANTIATE_TEST_SUITE_P(
    bundle, every_fault, testing::ValuesIn(fault_cases), [](const auto& info) { return info.param.name; });

TEST(read_bundle, names_all_faults_in_one_run)
{
    json document = sample();
    document["colour"] = 1;
    document["accounts"][0]["limits"]["streams"] = -1;
    document["default_policy"] = "none";
    EXPECT_GE(read_bundle(document).faults.size(), 3U);
}

TEST(read_bundle, a_doubled_field_is_a_fault)
{
    std::string text = sample().dump();
    text.insert(1, R"("name":"twice",)");
    EXPECT_FALSE(read_bundle_text(text).is_sound());
}

} // namespace

} // namespace sailtiller
