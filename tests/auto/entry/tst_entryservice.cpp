// SPDX-License-Identifier: Apache-2.0
#include <entry/entryservice.h>
#include <fleet/shareallocator.h>
#include <standins/enginestandin.h>
#include <standins/servicestandin.h>
#include <support/looprunner.h>
#include <support/samplebundle.h>

#include <runtime/httpserver.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using standins::engine_fault;
using standins::engine_standin;
using tests::run_until;

constexpr std::uint32_t layers = 8;
constexpr const char* chat_body =
    R"({"model":"model-0","max_tokens":10,"messages":[{"role":"user","content":"hello"}]})";
constexpr const char* messages = R"([{"content":"hello","role":"user"}])";

/// A simulated engine with its HTTP server.
struct engine_process
{
    explicit engine_process(event_loop& loop)
        : engine(loop, {layers, {}, {}})
        , server(std::make_unique<http_server>(loop, http_server_limits{}, std::nullopt,
              [this](const std::shared_ptr<http_exchange>& exchange) { this->engine.handle(exchange); }))
        , address(this->server->listen(endpoint("127.0.0.1:0")))
    {
    }

    engine_standin engine;
    std::unique_ptr<http_server> server;
    endpoint address;
};

/// One entry host in front of four engines and a plain service, all in one event loop over loopback
/// connections.
class entry_service_test : public testing::Test
{
protected:
    void SetUp() override
    {
        this->content = tests::make_sample_bundle({.accounts = 2, .layers = layers});
        this->content.times = {5s, 5s, 60s};
        for (upstream& item : this->content.upstreams) {
            this->engines.push_back(std::make_unique<engine_process>(this->loop));
            item.address = this->engines.back()->address;
        }
        upstream target;
        target.name = upstream_id("blob-service");
        target.address = this->service_server.listen(endpoint("127.0.0.1:0"));
        this->content.upstreams.push_back(target);
        this->content.services.push_back(
            {service_id("blobs"), "/blobs/", {upstream_id("blob-service")}, {"GET"}});
        this->address = this->server.listen(endpoint("127.0.0.1:0"));
        this->apply();
    }

    void TearDown() override
    {
        this->loop.run_once(0ms);
        EXPECT_EQ(this->entry.requests_in_flight(), 0U);
    }

    void apply()
    {
        this->entry.set_state(
            std::make_shared<const serving_state>(std::make_shared<const bundle>(this->content),
                generation_number(3), host_id("host"), this->loads, this->random));
    }

    share_hooks make_share_hooks()
    {
        share_hooks hooks;
        hooks.timers = this->loop.hooks();
        hooks.live_hosts = [] { return std::vector<host_id>{host_id("host")}; };
        hooks.query_allocator = [this](const host_id&, const share_query& question, auto on_grants,
                                    const auto&) {
            this->loop.post(
                [this, question, on_grants] { on_grants(this->home.answer(question, this->loop.now())); });
        };
        return hooks;
    }

    http_response call(const std::string& method, const std::string& path, const std::string& body,
        http_headers headers = {{"authorization", "Bearer key-0"}})
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = std::move(headers);
        std::optional<http_response> answer;
        this->client.send(
            this->address, request, [&](http_response response) { answer = std::move(response); },
            [&](const http_failure& failure) {
                answer = http_response{0, {}, failure.reason};
            });
        run_until(this->loop, [&] { return answer.has_value(); });
        return *answer;
    }

    http_response chat(http_headers headers = {{"authorization", "Bearer key-0"}})
    {
        return this->call("POST", "/v1/chat/completions", chat_body, std::move(headers));
    }

    static std::string text_of(const http_response& answer)
    {
        return json::parse(answer.body)["choices"][0]["message"]["content"];
    }

    static std::string code_of(const http_response& answer)
    {
        return json::parse(answer.body)["error"]["code"];
    }

    [[nodiscard]] std::uint64_t total(std::uint64_t (engine_standin::*count)() const) const
    {
        std::uint64_t sum = 0;
        for (const auto& item : this->engines) {
            sum += (item->engine.*count)();
        }
        return sum;
    }

    event_loop loop;
    http_client client{this->loop, {}};
    random_function random = make_seeded_random(11);
    load_table loads;
    host_metrics metrics;
    decision_log decisions{100};
    share_allocator home{[this](const client_account_id& account) -> const account_limits* {
        const client_account* found = this->entry.current_state()->accounts().find_by_name(account);
        return found == nullptr ? nullptr : &found->limits;
    }};
    share_client shares{host_id("host"), this->make_share_hooks()};
    retry_budget retries{0.2};
    engine_client engine_calls{this->client};
    service_client service_calls{this->client};
    entry_service entry{entry_context{this->loop.hooks(), [] { return 0; }, this->random, this->engine_calls,
                            this->service_calls, this->metrics, this->decisions, this->shares, this->retries},
        [this](std::function<void()> action) { this->loop.post(std::move(action)); }};
    std::vector<std::unique_ptr<engine_process>> engines;
    standins::service_standin service;
    http_server service_server{this->loop, {}, std::nullopt,
        [this](const std::shared_ptr<http_exchange>& exchange) { this->service.handle(exchange); }};
    http_server server{this->loop, {}, std::nullopt,
        [this](const std::shared_ptr<http_exchange>& exchange) { this->entry.handle(exchange); }};
    bundle content;
    endpoint address;
};

TEST_F(entry_service_test, returns_a_complete_answer_that_ran_every_layer_in_order)
{
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(text_of(answer), standins::expected_text(messages, layers, 10));
    EXPECT_EQ(find_header(answer.headers, "x-sailtiller-generation"), "3");
    EXPECT_TRUE(find_header(answer.headers, "x-request-id"));
    EXPECT_EQ(this->total(&engine_standin::violations), 0U);
}

TEST_F(entry_service_test, streams_server_sent_events_to_done)
{
    const http_response answer = this->call(
        "POST", "/v1/completions", R"({"model":"model-0","max_tokens":6,"prompt":"hello","stream":true})");
    EXPECT_EQ(find_header(answer.headers, "content-type"), "text/event-stream");
    std::string text;
    std::istringstream lines(answer.body);
    std::string last;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {")) {
            text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
        last = line.empty() ? last : line;
    }
    EXPECT_EQ(text, standins::expected_text("hello", layers, 6));
    EXPECT_EQ(last, "data: [DONE]");
}

TEST_F(entry_service_test, many_callers_at_once_each_get_their_own_answer)
{
    constexpr int callers = 40;
    std::vector<std::string> answers(callers);
    int done = 0;
    for (int caller = 0; caller < callers; ++caller) {
        http_request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.headers = {{"authorization", "Bearer key-0"}};
        request.body =
            json({{"model", "model-0"}, {"max_tokens", 8}, {"prompt", std::to_string(caller)}}).dump();
        this->client.send(
            this->address, request,
            [&, caller](const http_response& response) {
                answers[static_cast<std::size_t>(caller)] = json::parse(response.body)["choices"][0]["text"];
                ++done;
            },
            [&](const http_failure&) { ++done; });
    }
    run_until(this->loop, [&] { return done == callers; });
    for (int caller = 0; caller < callers; ++caller) {
        EXPECT_EQ(answers[static_cast<std::size_t>(caller)],
            standins::expected_text(std::to_string(caller), layers, 8));
    }
    EXPECT_EQ(this->total(&engine_standin::violations), 0U);
}

TEST_F(entry_service_test, retries_on_other_engines_after_each_kind_of_failure)
{
    for (const engine_fault fault : {engine_fault::error, engine_fault::refuse, engine_fault::wrong_stream}) {
        this->engines[0]->engine.set_fault(fault);
        const http_response answer = this->chat();
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_EQ(text_of(answer), standins::expected_text(messages, layers, 10));
    }
}

TEST_F(entry_service_test, reports_not_run_when_no_engine_is_reachable)
{
    for (const auto& item : this->engines) {
        item->server.reset();
    }
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(find_header(answer.headers, "x-sailtiller-outcome"), "not-run");
    EXPECT_TRUE(find_header(answer.headers, "retry-after"));
    EXPECT_EQ(json::parse(answer.body)["error"]["outcome"], "not-run");
}

TEST_F(entry_service_test, reports_unknown_when_engines_fail_after_the_request_was_sent)
{
    for (const auto& item : this->engines) {
        item->engine.set_fault(engine_fault::error);
    }
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(find_header(answer.headers, "x-sailtiller-outcome"), "unknown");
}

TEST_F(entry_service_test, reports_failed_without_retry_when_an_engine_rejects_the_request)
{
    for (const auto& item : this->engines) {
        item->engine.set_fault(engine_fault::reject);
    }
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 422);
    EXPECT_EQ(find_header(answer.headers, "x-sailtiller-outcome"), "failed");
    EXPECT_EQ(this->metrics.attempts.value("retry"), 0U);
    for (const upstream& item : this->content.upstreams) {
        EXPECT_EQ(this->loads.load_of(item.name)->state(this->loop.now()), breaker_state::closed);
    }
}

TEST_F(entry_service_test, a_request_that_is_not_repeatable_is_not_sent_again)
{
    for (const auto& item : this->engines) {
        item->engine.set_fault(engine_fault::error);
    }
    const http_response answer =
        this->chat({{"authorization", "Bearer key-0"}, {"x-sailtiller-repeatable", "no"}});
    EXPECT_EQ(find_header(answer.headers, "x-sailtiller-outcome"), "unknown");
    EXPECT_EQ(this->metrics.attempts.value("retry"), 0U);
}

TEST_F(entry_service_test, refuses_what_it_cannot_serve_with_a_clear_error)
{
    const http_headers key{{"authorization", "Bearer key-0"}};
    EXPECT_EQ(code_of(this->chat({})), "invalid_api_key");
    EXPECT_EQ(code_of(this->chat({{"authorization", "Bearer wrong"}})), "invalid_api_key");
    EXPECT_EQ(this->call("GET", "/v1/chat/completions", "").status, 405);
    EXPECT_EQ(this->call("POST", "/v1/unknown", "{}").status, 404);
    EXPECT_EQ(code_of(this->call("POST", "/v1/completions", R"({"model":"none","prompt":"a"})")),
        "model_not_found");
    EXPECT_EQ(code_of(this->call(
                  "POST", "/v1/completions", R"({"model":"model-0","prompt":"a","max_tokens":100000})")),
        "answer_too_long");
    EXPECT_EQ(code_of(this->call("POST", "/v1/completions", "{")), "invalid_value");
    EXPECT_EQ(this->total(&engine_standin::steps), 0U) << "none of these reached an engine";
    EXPECT_EQ(this->metrics.rejected.value("invalid_api_key"), 2U);
}

TEST_F(entry_service_test, refuses_everything_until_a_bundle_is_in_force)
{
    this->entry.set_state(nullptr);
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(code_of(answer), "not_ready");
}

TEST_F(entry_service_test, accepts_requests_during_a_stop_until_its_grace_period_ends)
{
    this->entry.begin_stop(1min, 1min);
    EXPECT_EQ(this->chat().status, 200);
    this->entry.begin_stop(0s, 1min);
    const std::uint64_t steps = this->total(&engine_standin::steps);
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(code_of(answer), "stopping");
    EXPECT_EQ(find_header(answer.headers, "x-sailtiller-outcome"), "not-run");
    EXPECT_EQ(find_header(answer.headers, "retry-after"), "1");
    EXPECT_EQ(this->call("GET", "/blobs/a", "").status, 503);
    EXPECT_EQ(this->service.calls(), 0U);
    EXPECT_EQ(this->total(&engine_standin::steps), steps);
    EXPECT_EQ(this->metrics.rejected.value("stopping"), 2U);
}

TEST_F(entry_service_test, refuses_an_account_over_its_limit_with_retry_after)
{
    this->content.accounts[0].limits.requests_per_second = 1.0;
    this->apply();
    EXPECT_EQ(this->chat().status, 200);
    const http_response answer = this->chat();
    EXPECT_EQ(answer.status, 429);
    EXPECT_TRUE(find_header(answer.headers, "retry-after"));
    EXPECT_EQ(this->chat({{"authorization", "Bearer key-1"}}).status, 200) << "others are not affected";
}

TEST_F(entry_service_test, lists_the_models_of_the_bundle)
{
    const json answer = json::parse(this->call("GET", "/v1/models", "").body);
    EXPECT_EQ(answer["data"][0]["id"], "model-0");
}

TEST_F(entry_service_test, caller_disconnect_cancels_its_stream_on_every_engine)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"authorization", "Bearer key-0"}};
    request.body = R"({"model":"model-0","max_tokens":500,"prompt":"leave","stream":true})";
    const http_client::call_id call = this->client.send(
        this->address, request, [](const http_response&) {}, [](const http_failure&) {});
    run_until(this->loop, [&] { return this->total(&engine_standin::steps) > 10; });
    this->client.cancel(call);
    run_until(this->loop, [&] {
        std::size_t open = 0;
        for (const auto& item : this->engines) {
            open += item->engine.open_streams();
        }
        return open == 0 && this->entry.requests_in_flight() == 0;
    });
    EXPECT_EQ(this->metrics.requests.value("abandoned"), 1U);
}

TEST_F(entry_service_test, forwards_service_calls_and_retries_only_repeatable_ones)
{
    const http_response answer = this->call("GET", "/blobs/a?b=c", "");
    EXPECT_EQ(json::parse(answer.body)["path"], "/blobs/a?b=c");
    this->service.break_answers(1);
    const http_response lost = this->call("POST", "/blobs/a", "reading");
    EXPECT_EQ(lost.status, 502);
    EXPECT_EQ(find_header(lost.headers, "x-sailtiller-outcome"), "unknown");
    EXPECT_EQ(this->service.calls(), 2U) << "the submission ran once";
}

TEST_F(entry_service_test, explains_its_decisions)
{
    this->engines[0]->engine.set_fault(engine_fault::error);
    const http_response answer = this->chat();
    const request_id id(*find_header(answer.headers, "x-request-id"));
    const std::vector<decision>* decisions = this->decisions.find(id);
    ASSERT_NE(decisions, nullptr);
    bool is_failure_told = false;
    for (const decision& item : *decisions) {
        is_failure_told = is_failure_told || (item.step == "run step" && item.reason == "status 500");
    }
    EXPECT_TRUE(is_failure_told);
}

} // namespace

} // namespace sailtiller
