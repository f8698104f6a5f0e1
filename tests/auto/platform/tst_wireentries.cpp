// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/json.h>
#include <platform/wireorder.h>
#include <platform/wireupstream.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace sailtiller::platform {

namespace {

json make_entry()
{
    return json::parse(R"({"service":"llm","address":"10.0.0.1:80","zone":"x","version":"v1","slots":192,
        "state":"ready","cold-remaining-ms":0,"sequence":5,"born":1764722282000,"kind":"t4",
        "models":[{"name":"m","version":1}],"layers":{"from":21,"target-version":27,"version":1}})");
}

bool names_an_upstream(const std::string& text)
{
    try {
        decode_upstream("i", text);
        return true;
    } catch (const error&) {
        return false;
    }
}

TEST(wire_entries, a_start_is_known_by_its_name_and_its_moment)
{
    const discovered_upstream upstream = decode_upstream("i-1", make_entry().dump());
    EXPECT_EQ(upstream.born, start_moment(1764722282000));
    EXPECT_EQ(upstream.id, make_start_id("i-1", upstream.born));
    json without = make_entry();
    without.erase("born");
    EXPECT_EQ(decode_upstream("i-1", without.dump()).born, std::nullopt);
}

TEST(wire_entries, an_order_goes_to_the_name_of_an_upstream)
{
    layer_order order;
    order.id = make_start_id("i-1", start_moment(1764722282000));
    const http_request request = make_order_codec().encode_order(order);
    const auto is_target = [](const http_header& header) { return header.name == "x-target-instance"; };
    EXPECT_EQ(std::find_if(request.headers.begin(), request.headers.end(), is_target)->value, "i-1");
}

TEST(wire_entries, a_report_tells_the_start_that_gave_it)
{
    http_response answer;
    answer.status = 200;
    answer.body = R"({"pace":1.0,"born":77})";
    EXPECT_EQ(make_order_codec().decode_report(answer).born, start_moment(77));
    answer.body = R"({"pace":1.0})";
    EXPECT_EQ(make_order_codec().decode_report(answer).born, std::nullopt);
    answer.body = R"({"pace":1.0,"born":"77"})";
    EXPECT_THROW(make_order_codec().decode_report(answer), error);
}

TEST(wire_entries, one_that_lacks_a_field_names_none_to_use)
{
    for (const char* field : {"service", "address", "zone", "state"}) {
        json entry = make_entry();
        entry.erase(field);
        EXPECT_FALSE(names_an_upstream(entry.dump())) << field;
        entry[field] = 7;
        EXPECT_FALSE(names_an_upstream(entry.dump())) << field << " of another type";
        entry[field] = "";
        EXPECT_FALSE(names_an_upstream(entry.dump())) << field << " empty";
    }
}

TEST(wire_entries, a_field_of_another_type_names_none_to_use)
{
    const std::vector<std::pair<const char*, json>> damages = {{"state", "resting"}, {"born", -5},
        {"born", 1.5}, {"born", "1764722282000"}, {"born", nullptr}, {"kind", 4}, {"layers", "21-27"},
        {"layers", {{"from", -1}, {"target-version", 4}}}, {"layers", {{"from", 1.5}, {"target-version", 4}}},
        {"layers", {{"from", 4}, {"target-version", 1}}}, {"layers", {{"from", 4}}}, {"address", "10.0.0.1"},
        {"address", "10.0.0.1:80,10.0.0.2:80"}};
    for (const auto& [field, value] : damages) {
        json entry = make_entry();
        entry[field] = value;
        EXPECT_FALSE(names_an_upstream(entry.dump())) << field << " " << value.dump();
    }
}

// Guards against one entry of another writer that ends every host which reads it.
TEST(wire_entries, a_field_nested_too_deep_names_none_to_use)
{
    constexpr std::size_t levels = 120'000;
    const std::string deep = std::string(levels, '[') + std::string(levels, ']');
    std::vector<std::string> fields = {"other", "from", "target-version"};
    const json sound = make_entry();
    for (const auto& [field, value] : sound.items()) {
        fields.push_back(field);
    }
    for (const std::string& field : fields) {
        json entry = make_entry();
        const bool is_of_layers = entry["layers"].contains(field);
        (is_of_layers ? entry["layers"][field] : entry[field]) = "DEEP";
        std::string text = entry.dump();
        text.replace(text.find("\"DEEP\""), std::string("\"DEEP\"").size(), deep);
        EXPECT_FALSE(names_an_upstream(text)) << field;
    }
}

// Guards against a number that is cut to another one, and against reasons that quote a whole record.
TEST(wire_entries, an_odd_number_or_a_long_text_names_none_to_use)
{
    for (const char* number : {"1e400", "18446744073709551616", "-1", "1000000000000000000000000000000"}) {
        for (const char* field : {"born", "from", "target-version"}) {
            json entry = make_entry();
            (entry["layers"].contains(field) ? entry["layers"][field] : entry[field]) = "ODD";
            std::string text = entry.dump();
            text.replace(text.find("\"ODD\""), std::string("\"ODD\"").size(), number);
            EXPECT_FALSE(names_an_upstream(text)) << field << " " << number;
        }
    }
    for (const char* field : {"service", "address", "zone", "state", "kind"}) {
        json entry = make_entry();
        entry[field] = std::string(200'000, '1');
        try {
            decode_upstream("i", entry.dump());
            FAIL() << field;
        } catch (const error& unusable) {
            EXPECT_LT(std::string(unusable.what()).size(), 300U) << field;
        }
    }
}

// Guards against an address to which nobody can connect, in whatever way the system reads it.
TEST(wire_entries, an_address_of_no_machine_names_none_to_use)
{
    for (const char* address : {":8080", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999",
             "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1:80 ", "1.2.3:80", "1:80", "010.0.0.1:80", "a.b:80",
             "0.0.0.0:80", "[::]:80", "::1:80", "[::1]", "[fe80::1%lo]:80", "[]:80", ".:", "[10.0.0.1]:80"}) {
        json entry = make_entry();
        entry["address"] = address;
        EXPECT_FALSE(names_an_upstream(entry.dump())) << address;
    }
    json with_nul = make_entry();
    with_nul["address"] = std::string("10.0.0.1\0x:80", 13);
    EXPECT_FALSE(names_an_upstream(with_nul.dump())) << "a NUL ends what the system reads";
    for (const char* address : {"10.0.0.1:80", "127.0.0.1:65535", "[::1]:80", "[fe80::1]:80"}) {
        json entry = make_entry();
        entry["address"] = address;
        EXPECT_TRUE(names_an_upstream(entry.dump())) << address;
    }
}

TEST(wire_entries, a_name_that_no_header_can_hold_names_none_to_use)
{
    for (const char* name : {"", "a b", "a\r\nx: y", "\xff\xfe"}) {
        EXPECT_THROW(decode_upstream(name, make_entry().dump()), error) << name;
    }
}

TEST(wire_entries, damaged_bytes_are_told_as_an_error_and_nothing_else)
{
    EXPECT_FALSE(names_an_upstream(""));
    EXPECT_FALSE(names_an_upstream("[]"));
    EXPECT_FALSE(names_an_upstream("\"\xff\xfe\""));
    const bool held = rc::check("bytes changed at random", [] {
        std::string text = make_entry().dump();
        const auto changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change) {
            const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
            text[place] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        names_an_upstream(text); // anything but the project's own error would end the test
    });
    EXPECT_TRUE(held);
}

} // namespace

} // namespace sailtiller::platform
