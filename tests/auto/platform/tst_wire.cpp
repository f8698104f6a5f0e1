// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/json.h>
#include <bundle/digest.h>
#include <platform/wireconfig.h>
#include <platform/wireorder.h>
#include <platform/wirerequest.h>
#include <platform/wirestore.h>
#include <platform/wireupstream.h>

#include <gtest/gtest.h>

namespace sailtiller::platform {

namespace {

using namespace std::chrono_literals;

constexpr const char* sample_configuration = R"({
  "version": 7,
  "routes": [
    {"name": "chat", "host": "a.example", "path-prefix": "/chat/", "kind": "streaming", "timeout-ms": 20000,
     "target-latency-ms": 500, "priority": 1, "max-attempts": 2, "public": false, "resumable": true,
     "gap_aim_ms": 200,
     "traffic-split": [{"service": "llm", "weight": 90}, {"service": "spare", "weight": 10}]},
    {"name": "deep", "host": "a.example", "path-prefix": "/chat/deep/", "kind": "unsafe", "timeout-ms": 1500.0,
     "target-latency-ms": 300, "service": "plain", "max-attempts": 1, "public": true},
    {"name": "list", "host": "a.example", "path-prefix": "/list/", "kind": "safe", "service": "plain"}],
  "services": [
    {"name": "llm", "health-path": "/healthz", "max-connections": 100, "engine": {
      "slots": 192, "kv-token-bytes": 459000, "models": [{"name": "m", "load_s": 14.0}], "step_ms": 0.85,
      "per_seq_ms": 0.003, "context_per_k": 0.004, "read_per_s": 252000.0, "loads_at_once": 6,
      "usual": {"prompt": 772, "answer": 154}, "layers": 80, "layer_mb": 1750.0, "act_bytes": 22900,
      "pipe_mbps": 7900.0, "kinds": [{"name": "big", "mb": 36000.0, "pace": 3.1, "read_x": 3.2}]}},
    {"name": "plain"}],
  "limits": {"max-header-bytes": 1000, "max-body-bytes": 2000, "header-timeout-ms": 3000,
             "idle-timeout-ms": 15000},
  "tenants": [{"name": "one", "api-keys": ["k1", "k2"], "priority": 3}, {"name": "two", "api-keys": []}]
})";

TEST(wire_configuration, reads_routes_pools_and_accounts)
{
    const site_bundle bundle = decode_site_bundle(sample_configuration);
    EXPECT_EQ(bundle.version.value(), 7U);
    const service_route* chat = bundle.find_route("a.example", "/chat/x");
    ASSERT_NE(chat, nullptr);
    EXPECT_EQ(chat->kind, route_kind::stream);
    EXPECT_TRUE(chat->may_repeat());
    EXPECT_EQ(chat->time_limit, duration(20s));
    EXPECT_EQ(chat->longest_pause, duration(200ms));
    ASSERT_EQ(chat->targets.size(), 2U);
    EXPECT_EQ(chat->targets[1].weight, 10);
    EXPECT_EQ(bundle.find_account("k2")->name.value(), "one");
    EXPECT_EQ(*bundle.find_account("k2")->priority, 3);
    EXPECT_EQ(bundle.find_account("k3"), nullptr);
    EXPECT_EQ(bundle.limits.most_header_bytes, 1000U);
    ASSERT_NE(bundle.engine_pool(), nullptr);
    const engine_profile& profile = *bundle.engine_pool()->engine;
    EXPECT_EQ(profile.layers, 80U);
    EXPECT_EQ(profile.kinds.at("big").prompt_factor, 3.2);
    EXPECT_NEAR(profile.token_layer_mb(), 459000.0 / 80 / 1e6, 1e-9);
}

TEST(wire_configuration, the_longest_prefix_of_the_host_wins)
{
    const site_bundle bundle = decode_site_bundle(sample_configuration);
    EXPECT_EQ(bundle.find_route("a.example", "/chat/deep/x")->name, "deep");
    EXPECT_EQ(bundle.find_route("a.example", "/chat/deepest")->name, "chat");
    EXPECT_EQ(bundle.find_route("a.example", "/other/"), nullptr);
    EXPECT_EQ(bundle.find_route("b.example", "/chat/x"), nullptr);
    EXPECT_EQ(bundle.find_route("a.example", "/list/")->kind, route_kind::repeatable);
    EXPECT_FALSE(bundle.find_route("a.example", "/chat/deep/x")->may_repeat());
}

std::string make_configuration(const std::string& more)
{
    return R"({"version": 1, "routes": [], "services": [])" + (more.empty() ? "" : ", " + more) + "}";
}

// Guards against routes that are open to everyone because the list of accounts is empty or can't be read.
TEST(wire_configuration, only_a_configuration_without_the_list_of_accounts_requires_no_key)
{
    EXPECT_FALSE(decode_site_bundle(make_configuration("")).requires_key());
    EXPECT_TRUE(decode_site_bundle(make_configuration(R"("tenants": [])")).requires_key());
    EXPECT_TRUE(decode_site_bundle(make_configuration(R"("tenants": [])")).account_faults.empty());
    for (const char* list : {"{}", "null", R"("")", R"("one")", "0", "false",
             R"({"name": "one", "api-keys": ["k"]})", R"({"one": {"name": "one", "api-keys": ["k"]}})"}) {
        const site_bundle bundle =
            decode_site_bundle(make_configuration(std::string(R"("tenants": )") + list));
        EXPECT_TRUE(bundle.requires_key()) << list;
        EXPECT_EQ(bundle.find_account("k"), nullptr) << list;
        EXPECT_EQ(bundle.account_faults.size(), 1U) << list;
    }
}

TEST(wire_configuration, an_account_that_can_not_be_read_lets_nobody_in)
{
    for (const char* entry : {"null", "7", "{}", R"({"name": "bad"})", R"({"name": "bad", "api-keys": null})",
             R"({"name": "bad", "api-keys": "k2"})", R"({"name": "bad", "api-keys": ["k2", 3]})",
             R"({"name": "bad", "api-keys": {"a": "k2"}})",
             R"({"name": "bad", "api-keys": ["k2"], "priority": "x"})"}) {
        const site_bundle bundle = decode_site_bundle(make_configuration(
            R"("tenants": [{"name": "one", "api-keys": ["k1"]}, )" + std::string(entry) + "]"));
        ASSERT_NE(bundle.find_account("k1"), nullptr) << entry;
        EXPECT_EQ(bundle.find_account("k2"), nullptr) << entry;
        ASSERT_EQ(bundle.account_faults.size(), 1U) << entry;
        EXPECT_TRUE(bundle.account_faults[0].starts_with("/tenants/1: ")) << bundle.account_faults[0];
    }
}

TEST(wire_configuration, other_lists_must_be_there_and_be_lists)
{
    EXPECT_NO_THROW(decode_site_bundle(make_configuration("")));
    EXPECT_THROW(decode_site_bundle(R"({"version": 1, "routes": []})"), error);
    EXPECT_THROW(decode_site_bundle(R"({"version": 1, "services": []})"), error);
    for (const char* list : {"{}", "null", R"("")", "0"}) {
        EXPECT_THROW(
            decode_site_bundle(R"({"version": 1, "services": [], "routes": )" + std::string(list) + "}"),
            error);
        EXPECT_THROW(
            decode_site_bundle(R"({"version": 1, "routes": [], "services": )" + std::string(list) + "}"),
            error);
        const std::string route =
            R"({"name": "a", "host": "h", "path-prefix": "/", "kind": "safe", "traffic-split": )";
        EXPECT_THROW(
            decode_site_bundle(R"({"version": 1, "services": [], "routes": [)" + route + list + "}]}"),
            error);
    }
}

TEST(wire_configuration, malformed_limits_and_weights_are_errors)
{
    EXPECT_NO_THROW(decode_site_bundle(make_configuration(R"("limits": {})")));
    for (const char* limits : {"[]", "null", R"("")", "0"}) {
        EXPECT_THROW(decode_site_bundle(make_configuration(R"("limits": )" + std::string(limits))), error)
            << limits;
    }
    for (const char* weight : {"-1", "null", R"("1")"}) {
        const std::string route =
            R"({"name": "a", "host": "h", "path-prefix": "/", "kind": "safe", "traffic-split":
            [{"service": "s", "weight": )"
            + std::string(weight) + "}]}";
        EXPECT_THROW(
            decode_site_bundle(R"({"version": 1, "services": [], "routes": [)" + route + "]}"), error)
            << weight;
    }
}

TEST(wire_configuration, faults_name_their_place)
{
    try {
        decode_site_bundle(R"({"version": 1, "routes": [{"name": "a", "host": "h"}]})");
        FAIL() << "no error";
    } catch (const error& wrong) {
        EXPECT_EQ(wrong.peer(), "/routes/0");
        EXPECT_NE(wrong.reason().find("path-prefix"), std::string::npos);
    }
    EXPECT_THROW(decode_site_bundle("{"), error);
    EXPECT_THROW(decode_site_bundle("{}"), error);
}

TEST(wire_upstream, reads_an_engine_and_a_plain_service)
{
    const discovered_upstream engine = decode_upstream("i",
        R"({"service":"llm","address":"10.0.0.1:80","zone":"x","state":"draining","sequence":5,"kind":"t4",
            "models":[{"name":"m","version":1}],"layers":{"from":21,"target-version":27,"version":1}})");
    EXPECT_TRUE(engine.is_leaving);
    EXPECT_EQ(engine.held, (layer_span{21, 27}));
    EXPECT_EQ(engine.card, "t4");
    const discovered_upstream empty = decode_upstream("i",
        R"({"service":"llm","address":"10.0.0.1:80","zone":"x","state":"ready","models":[],"layers":null})");
    EXPECT_TRUE(empty.held.is_empty());
    EXPECT_FALSE(empty.is_leaving);
    EXPECT_THROW(decode_upstream("i", R"({"service":"llm"})"), error);
    EXPECT_THROW(decode_upstream("i", "no"), error);
}

http_request make_request()
{
    http_request request;
    request.method = "POST";
    request.path = "/chat/x?y=1";
    request.authority = "a.example";
    request.body = "body";
    request.headers = {{"x-attempt-id", "id1"}, {"x-deadline-ms", "1500"}, {"authorization", "Bearer k1"},
        {"x-tenant", "forged"}, {"x-token-usage", "1460,80"}, {"length-hint", "40"}, {"last-event-id", "12"},
        {"path", "forged"}, {"connection", "close, x-hop"}, {"x-hop", "1"}, {"x-model", "m"}, {"te", "x"}};
    return request;
}

TEST(wire_request, reads_what_the_caller_says)
{
    const caller_request request = make_request_codec().decode_request(make_request());
    EXPECT_EQ(request.id.value(), "id1");
    EXPECT_EQ(*request.key, "k1");
    EXPECT_EQ(*request.time_limit, duration(1500ms));
    EXPECT_EQ(request.last_event, event_id("12"));
    EXPECT_TRUE(request.unreadable_headers.empty());
    EXPECT_EQ(request.prompt_tokens, 1460);
    EXPECT_EQ(request.max_answer_tokens, 80);
    EXPECT_EQ(*request.predicted_answer_tokens, 40);
}

TEST(wire_request, passes_on_what_is_the_callers_and_nothing_forged)
{
    const request_codec codec = make_request_codec();
    const caller_request request = codec.decode_request(make_request());
    upstream_request upstream;
    upstream.target = upstream_id("i-1");
    upstream.account = client_account_id("one");
    upstream.time_left = 900ms;
    upstream.last_event = event_id("30");
    upstream.path = {{endpoint("10.0.0.1:80"), 0, 20}, {endpoint("10.0.0.2:80"), 20, 80}};
    const http_request sent = codec.encode_request(request, upstream);
    EXPECT_EQ(sent.method, "POST");
    EXPECT_EQ(sent.path, "/chat/x?y=1");
    EXPECT_EQ(sent.body, "body");
    EXPECT_EQ(find_header(sent.headers, "host"), "a.example");
    EXPECT_EQ(find_header(sent.headers, "x-attempt-id"), "id1");
    EXPECT_EQ(find_header(sent.headers, "x-model"), "m");
    EXPECT_EQ(find_header(sent.headers, "x-deadline-ms"), "900");
    EXPECT_EQ(find_header(sent.headers, "x-tenant"), "one");
    EXPECT_EQ(find_header(sent.headers, "x-target-instance"), "i-1");
    EXPECT_EQ(find_header(sent.headers, "last-event-id"), "30");
    EXPECT_EQ(find_header(sent.headers, "path"), "10.0.0.1:80=0-20,10.0.0.2:80=20-80");
    for (const char* held_back : {"authorization", "connection", "x-hop", "te"}) {
        EXPECT_FALSE(find_header(sent.headers, held_back).has_value()) << held_back;
    }
}

TEST(wire_request, numbers_that_make_no_sense_count_as_absent)
{
    for (const char* text : {"nan", "inf", "1e300", "-5", "12x", ""}) {
        http_request message = make_request();
        for (http_header& header : message.headers) {
            const bool is_number = header.name == "x-deadline-ms" || header.name == "length-hint";
            header.value = is_number ? text : header.value;
            header.value = header.name == "x-token-usage" ? std::string(text) + "," + text : header.value;
        }
        const caller_request request = make_request_codec().decode_request(message);
        EXPECT_FALSE(request.time_limit.has_value()) << text;
        EXPECT_FALSE(request.predicted_answer_tokens.has_value()) << text;
        EXPECT_EQ(request.prompt_tokens, 0) << text;
        const std::vector<std::string> expected = {
            "x-deadline-ms", "length-hint", "x-token-usage", "x-token-usage"};
        EXPECT_EQ(request.unreadable_headers, expected) << "said in the log: " << text;
    }
}

// Guards against resumed streams that begin anew, or after a neighbouring event, because the id was read as a
// number.
TEST(wire_request, an_event_id_reaches_the_upstream_as_the_caller_sent_it)
{
    const request_codec codec = make_request_codec();
    for (const char* text : {"1764860000012", "9007199254740993", "18446744073709551615",
             "123456789012345678901234567890", "007", "12.5", "-3", "1e3", "abc:7/2 x", ""}) {
        http_request message = make_request();
        for (http_header& header : message.headers) {
            header.value = header.name == "last-event-id" ? text : header.value;
        }
        const caller_request request = codec.decode_request(message);
        EXPECT_EQ(request.last_event, event_id(text));
        upstream_request upstream;
        upstream.last_event = request.last_event;
        const http_request sent = codec.encode_request(request, upstream);
        EXPECT_EQ(find_header(sent.headers, "last-event-id"), text);
    }
}

std::vector<prompt_part_id> read_parts(const std::string& text)
{
    http_request message = make_request();
    message.headers.push_back({"x-prompt-prefix", text});
    const caller_request request = make_request_codec().decode_request(message);
    EXPECT_EQ(find_header(request.passed_on, "x-prompt-prefix"), text) << "the upstream sees what was sent";
    return request.shared_parts;
}

TEST(wire_request, parts_of_the_prompt_but_the_last_are_shared)
{
    const std::vector<prompt_part_id> both{prompt_part_id("5c1e07a2"), prompt_part_id("91bd3f06")};
    EXPECT_EQ(read_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), both);
    EXPECT_EQ(read_parts("5C1E07A2:800, 91bd3f06 :410,5c1e07a2:800,e4402b7d:250"), both);
    EXPECT_TRUE(read_parts("e4402b7d:250").empty());
    EXPECT_TRUE(make_request_codec().decode_request(make_request()).shared_parts.empty());
}

TEST(wire_request, malformed_parts_of_the_prompt_are_passed_over_and_their_number_is_bounded)
{
    const std::vector<prompt_part_id> sound{prompt_part_id("5c1e")};
    EXPECT_EQ(read_parts("5c1e,xyz:3,:4,,91bd3f:2"), sound);
    EXPECT_EQ(read_parts("5c1e:-7," + std::string(1000, 'a') + ":1,91bd3f"), sound);
    EXPECT_EQ(read_parts("5c1e:many:colons,"), sound);
    std::string many;
    for (int number = 0; number < 1000; ++number) {
        many += std::to_string(number) + ":1,";
    }
    EXPECT_EQ(read_parts(many + "ff:1").size(), max_shared_parts);
}

TEST(wire_request, only_whole_words_of_the_connection_header_name_headers)
{
    http_request message = make_request();
    message.headers = {{"connection", "keep-alive, X-Hop"}, {"alive", "1"}, {"x-hop", "1"}, {"hop", "1"}};
    const caller_request request = make_request_codec().decode_request(message);
    EXPECT_TRUE(find_header(request.passed_on, "alive").has_value());
    EXPECT_TRUE(find_header(request.passed_on, "hop").has_value());
    EXPECT_FALSE(find_header(request.passed_on, "x-hop").has_value());
}

TEST(wire_request, without_an_account_none_is_named)
{
    const request_codec codec = make_request_codec();
    upstream_request upstream;
    upstream.target = upstream_id("i-1");
    const http_request sent = codec.encode_request(codec.decode_request(make_request()), upstream);
    EXPECT_FALSE(find_header(sent.headers, "x-tenant").has_value());
    EXPECT_FALSE(find_header(sent.headers, "path").has_value());
}

TEST(wire_answer, tells_refusals_from_answers)
{
    const request_codec codec = make_request_codec();
    const upstream_answer good = codec.decode_answer(200,
        {{"x-attempt-id", "id1"}, {"x-response-signature", "s"}, {"connection", "close"},
            {"content-type", "t"}});
    EXPECT_TRUE(good.is_signed);
    EXPECT_FALSE(good.is_not_run);
    EXPECT_EQ(good.id.value(), "id1");
    EXPECT_FALSE(find_header(good.passed_on, "connection").has_value());
    EXPECT_EQ(find_header(good.passed_on, "x-response-signature"), "s");
    EXPECT_TRUE(codec.decode_answer(421, {}).is_not_run);
    EXPECT_FALSE(codec.decode_answer(503, {}).is_not_run) << "only its word says that it has not run";
    const upstream_answer refused =
        codec.decode_answer(503, {{"x-not-executed", "1"}, {"at-server", "10.0.0.2:80"}});
    EXPECT_TRUE(refused.is_not_run);
    EXPECT_EQ(refused.at_fault->value(), "10.0.0.2:80");
}

TEST(wire_answer, tells_the_limit_that_its_upstream_names)
{
    const request_codec codec = make_request_codec();
    const upstream_answer limited = codec.decode_answer(200, {{"server-limit", "4.5"}});
    EXPECT_EQ(limited.requests_per_second, 4.5);
    EXPECT_FALSE(limited.is_limit_unusable);
    EXPECT_EQ(find_header(limited.passed_on, "server-limit"), "4.5") << "the answer's heads stay as they are";
    const upstream_answer without = codec.decode_answer(200, {});
    EXPECT_EQ(without.requests_per_second, std::nullopt);
    EXPECT_FALSE(without.is_limit_unusable);
    for (const char* text : {"", "many", "-1", "nan", "4.5x"}) {
        const upstream_answer bad = codec.decode_answer(503, {{"server-limit", text}});
        EXPECT_EQ(bad.requests_per_second, std::nullopt) << text;
        EXPECT_TRUE(bad.is_limit_unusable) << text;
    }
}

TEST(wire_answer, tells_how_long_an_upstream_that_refuses_wants_no_requests)
{
    const request_codec codec = make_request_codec();
    EXPECT_EQ(codec.decode_answer(503, {{"retry-after", "3"}}).pause, duration(3s));
    EXPECT_EQ(codec.decode_answer(429, {{"retry-after", "0.25"}}).pause, duration(250ms));
    EXPECT_EQ(codec.decode_answer(503, {}).pause, std::nullopt);
    EXPECT_EQ(codec.decode_answer(421, {{"retry-after", "3"}}).pause, std::nullopt);
    EXPECT_EQ(codec.decode_answer(200, {{"retry-after", "3"}}).pause, std::nullopt);
    for (const char* text : {"", "soon", "-1", "nan", "inf", "3s", "Thu, 01 Jan 1970 00:00:00 GMT"}) {
        const upstream_answer bad = codec.decode_answer(503, {{"retry-after", text}});
        EXPECT_EQ(bad.pause, std::nullopt) << text;
        EXPECT_TRUE(bad.is_pause_unusable) << text;
    }
}

TEST(wire_answer, tells_that_its_upstream_leaves)
{
    const request_codec codec = make_request_codec();
    EXPECT_TRUE(codec.decode_answer(200, {{"server-leaving", "1"}}).is_leaving);
    EXPECT_FALSE(codec.decode_answer(200, {{"server-leaving", "0"}}).is_leaving);
    EXPECT_FALSE(codec.decode_answer(200, {}).is_leaving);
    const order_codec orders = make_order_codec();
    EXPECT_TRUE(orders.decode_report({200, {{"server-leaving", "1"}}, "{}"}).is_leaving);
    EXPECT_TRUE(orders.decode_report({503, {{"server-leaving", "1"}}, ""}).is_leaving);
    EXPECT_FALSE(orders.decode_report({421, {{"server-leaving", "1"}}, ""}).is_leaving) << "another one's";
    EXPECT_FALSE(orders.decode_report({200, {}, "{}"}).is_leaving);
}

TEST(wire_path_change, asks_and_reads)
{
    const request_codec codec = make_request_codec();
    const http_request sent = codec.encode_path_change({upstream_id("i-1"), endpoint("10.0.0.1:80"),
        request_id("id1"), {{endpoint("10.0.0.1:80"), 0, 20}, {endpoint("10.0.0.3:80"), 20, 80}}});
    const json body = json::parse(sent.body.text());
    EXPECT_EQ(body.at("op"), "repath");
    EXPECT_EQ(body.at("id"), "id1");
    EXPECT_EQ(body.at("path"), "10.0.0.1:80=0-20,10.0.0.3:80=20-80");
    EXPECT_EQ(codec.decode_path_change({202, {}, ""}).result, path_change_result::changed);
    EXPECT_EQ(codec.decode_path_change({404, {}, ""}).result, path_change_result::unknown_request);
    EXPECT_EQ(codec.decode_path_change({500, {}, ""}).result, path_change_result::failed);
    const path_change_answer refused = codec.decode_path_change({409, {}, R"({"address":"10.0.0.3:80"})"});
    EXPECT_EQ(refused.result, path_change_result::stage_refused);
    EXPECT_EQ(refused.at_fault->value(), "10.0.0.3:80");
    EXPECT_FALSE(codec.decode_path_change({409, {}, "x"}).at_fault.has_value());
}

TEST(wire_order, writes_the_span_and_the_token)
{
    const order_codec codec = make_order_codec();
    const http_request sent = codec.encode_order(
        {upstream_id("i"), endpoint("10.0.0.1:80"), {20, 31}, fencing_token(9), std::nullopt, true});
    const json body = json::parse(sent.body.text());
    EXPECT_EQ(body.at("from"), 20);
    EXPECT_EQ(body.at("target-version"), 31);
    EXPECT_EQ(body.at("how"), "cut");
    EXPECT_EQ(body.at("fence"), 9);
    EXPECT_FALSE(body.contains("expected-revision"));
    EXPECT_EQ(codec.decode_result(202), order_result::begun);
    EXPECT_EQ(codec.decode_result(412), order_result::fenced);
    EXPECT_EQ(codec.decode_result(409), order_result::unfit);
    EXPECT_EQ(codec.decode_result(421), order_result::gone);
    EXPECT_EQ(codec.decode_result(400), order_result::refused);
}

TEST(wire_order, reads_the_pace_of_an_engines_report)
{
    const order_codec codec = make_order_codec();
    EXPECT_EQ(codec.decode_report({200, {}, R"({"pace":12.5,"queued":3})"}).pace, 12.5);
    EXPECT_EQ(codec.decode_report({200, {}, R"({"queued":3})"}).pace, 1);
    EXPECT_FALSE(codec.decode_report({200, {}, R"({"queued":3})"}).held);
    EXPECT_EQ(codec.decode_report({200, {}, R"({"models":[{"layers":{"from":3,"target-version":9}}]})"}).held,
        (layer_span{3, 9}));
    EXPECT_EQ(codec.decode_report({404, {}, "not here"}).pace, 1) << "a plain service knows no reports";
    EXPECT_THROW((void)codec.decode_report({200, {}, "{"}), error);
    EXPECT_THROW((void)codec.decode_report({200, {}, R"({"layers":{"from":9,"target-version":3}})"}), error);
    EXPECT_THROW((void)codec.decode_report({200, {}, R"({"pace":"fast"})"}), error);
}

TEST(wire_store, reads_pages_of_newest_records)
{
    const store_codec codec = make_store_codec();
    const json body = {{"items",
                           {{{"tls-key", "a"}, {"value", to_base64("text")}, {"offset", 1}},
                               {{"tls-key", "b"}, {"value", to_base64("x")}, {"offset", 2}}}},
        {"more", true}, {"end", 9}};
    const newest_page page = codec.decode_newest({200, {}, body.dump()});
    ASSERT_EQ(page.records.size(), 2U);
    EXPECT_EQ(*page.records[0].value, "text");
    EXPECT_EQ(*page.continue_after, "b");
    EXPECT_EQ(page.end.value(), 9U);
    EXPECT_THROW(codec.decode_newest({200, {}, "{}"}), error);
}

TEST(wire_store, reads_records_with_keys_and_dropped_keys)
{
    using namespace std::string_literals;
    const store_codec codec = make_store_codec();
    const std::string numbers = "\0\0\0\0\0\0\0\x0c"s + "\0\0\0\0\0\0\0\0"s;
    const std::string records = "\0\0\0\x04"s + "\x01"s + "kv1"s + "\0\0\0\x02"s + "\x01"s + "g"s;
    const record_page page = codec.decode_read({200, {}, numbers + records}, log_offset(10));
    ASSERT_EQ(page.records.size(), 2U);
    EXPECT_EQ(page.records[0].key, "k");
    EXPECT_EQ(*page.records[0].value, "v1");
    EXPECT_FALSE(page.records[1].value.has_value());
    EXPECT_EQ(page.next.value(), 12U);
    EXPECT_EQ(page.end.value(), 12U);
    EXPECT_THROW(codec.decode_read({200, {}, numbers + records.substr(0, 6)}, log_offset(10)), error);
    EXPECT_THROW(codec.decode_read({200, {}, "short"}, log_offset(10)), error);
}

TEST(wire_store, joins_and_reads_its_duties)
{
    const store_codec codec = make_store_codec();
    const http_request sent = codec.encode_join(host_id("h"), 1800ms, group_generation(3));
    EXPECT_EQ(json::parse(sent.body.text()).at("ttl_ms"), 1800);
    const group_membership membership =
        codec.decode_join({200, {}, R"({"generation":7,"ttl_ms":1800,"parts":[["t",0,0],["t",4,0]]})"});
    EXPECT_EQ(membership.generation.value(), 7U);
    EXPECT_EQ(membership.duties, (std::vector<unsigned>{0, 4}));
}

} // namespace

} // namespace sailtiller::platform
