// SPDX-License-Identifier: Apache-2.0
// Answers without end by way of another host, and of that host itself.
#include <relay/relayclient.h>
#include <relay/relayservice.h>
#include <runtime/httpcall.h>
#include <runtime/httpserver.h>
#include <runtime/wholecall.h>
#include <support/endlessserver.h>
#include <support/looprunner.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::endless_server;
using tests::run_until;
using tests::system_buffer_bytes;

constexpr duration close_limit = 1s;

class endless_relayed_answers_test : public testing::Test
{
protected:
    /// A client that relays by way of this address alone.
    std::unique_ptr<relay_client> make_client(const endpoint& host)
    {
        relay_client_hooks hooks;
        hooks.random = make_seeded_random(3);
        hooks.list_candidates = [host](const upstream_group&) {
            return std::vector<relay_candidate>{{host_id("p"), host, true, 0}};
        };
        hooks.is_up = [](const host_id&) { return true; };
        hooks.on_no_way = [](const host_id&, const upstream_group&) {};
        hooks.on_lost = [this](relay_loss cause) { this->losses.push_back(cause); };
        hooks.log = [](const delivery_event&) {};
        return std::make_unique<relay_client>(this->loop, relay_client_settings{}, hooks);
    }

    /// A host that relays over connections of its own.
    void start_host()
    {
        relay_service_hooks hooks;
        hooks.timers = this->loop.hooks();
        hooks.is_host = [](const endpoint&) { return true; };
        hooks.find_obstacle = [](const upstream_target&) { return std::nullopt; };
        hooks.send = [this](const upstream_target& target, const http_request& request, bool,
                         http_call_handlers handlers) -> cancel_call {
            const auto call = http_call::start(this->loop, target.address, request, {}, std::move(handlers));
            return [call] { call->cancel(); };
        };
        hooks.on_head = [](const upstream_target&, int, const http_headers&, time_point) {};
        hooks.log = [](const delivery_event&) {};
        this->service = std::make_unique<relay_service>(relay_service_settings{}, hooks);
        this->host = std::make_unique<http_server>(this->loop, http_server_limits{}, std::nullopt,
            [this](const std::shared_ptr<http_exchange>& exchange) { this->service->handle(exchange); });
        this->host_address = this->host->listen(endpoint("127.0.0.1:0"));
    }

    /// Sends a small request to the upstream and returns what came of it.
    whole_call_result call(relay_client& client, const endpoint& upstream, endless_server& server)
    {
        std::optional<whole_call_result> result;
        collect_whole(
            this->loop, {.time = 60s},
            [&](http_call_handlers handlers) {
                handlers.on_end = [this, told = handlers.on_end](
                                      call_ending ending, const std::string& reason) {
                    this->ending = ending;
                    told(ending, reason);
                };
                http_request request;
                request.method = "GET";
                request.path = "/";
                request.headers = {{"host", "a"}};
                return client.send({upstream_id("u"), upstream, request_id("r")},
                    {service_id("llm"), data_hall_id("x")}, request, true, std::move(handlers));
            },
            [&result](const whole_call_result& told) { result = told; });
        run_until(this->loop, [&] {
            server.pump();
            return result.has_value();
        });
        EXPECT_EQ(result->failure.find("no answer within"), std::string::npos) << "ended by its time alone";
        const time_point end = this->loop.now();
        run_until(this->loop, [&] {
            server.pump();
            return server.open_count() == 0 || this->loop.now() - end > close_limit;
        });
        EXPECT_EQ(server.open_count(), 0U);
        return *result;
    }

    event_loop loop;
    std::vector<relay_loss> losses;
    std::unique_ptr<relay_service> service;
    std::unique_ptr<http_server> host;
    endpoint host_address;
    std::optional<call_ending> ending; ///< of the relayed call; empty if it was cancelled
};

TEST_F(endless_relayed_answers_test, an_endless_body_of_an_upstream_is_broken_off)
{
    this->start_host();
    endless_server upstream("HTTP/1.1 200 OK\r\n\r\n", "x");
    const auto client = this->make_client(this->host_address);
    EXPECT_FALSE(this->call(*client, upstream.address(), upstream).response.has_value());
    EXPECT_TRUE(this->losses.empty()) << "the host is sound";
    EXPECT_EQ(this->service->calls_in_progress(), 0U);
    EXPECT_LE(upstream.sent_bytes(), 3 * system_buffer_bytes)
        << "of two connections, and what the host holds";
}

TEST_F(endless_relayed_answers_test, an_endless_head_of_an_upstream_is_its_own_loss)
{
    this->start_host();
    endless_server upstream("HTTP/1.1 200 OK\r\na: ", "b");
    const auto client = this->make_client(this->host_address);
    EXPECT_FALSE(this->call(*client, upstream.address(), upstream).response.has_value());
    EXPECT_EQ(this->ending, call_ending::broken);
    EXPECT_TRUE(this->losses.empty());
}

TEST_F(endless_relayed_answers_test, the_largest_head_of_bytes_that_are_no_text_passes)
{
    this->start_host();
    const std::string head =
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\na: " + std::string(60'000, '\xE4') + "\r\n\r\n";
    endless_server upstream(head + "ok", "");
    const auto client = this->make_client(this->host_address);
    const whole_call_result result = this->call(*client, upstream.address(), upstream);
    ASSERT_TRUE(result.response.has_value()) << result.failure;
    EXPECT_EQ(result.response->body, "ok");
}

TEST_F(endless_relayed_answers_test, what_a_host_sends_without_end_is_its_own_loss)
{
    const std::string accepted = "HTTP/1.1 200 OK\r\n\r\n\n";
    const std::string refused = "HTTP/1.1 503 Unavailable\r\n\r\n";
    for (const std::string& beginning : {std::string("HTTP/1.1 200 OK\r\na: "), accepted, refused}) {
        endless_server peer(beginning, "x");
        const auto client = this->make_client(peer.address());
        this->losses.clear();
        this->ending.reset();
        EXPECT_FALSE(this->call(*client, endpoint("127.0.0.1:1"), peer).response.has_value());
        EXPECT_EQ(this->ending, call_ending::relay_lost) << "it may have been passed on";
        EXPECT_EQ(this->losses, std::vector{relay_loss::ended});
        EXPECT_LE(peer.sent_bytes(), 2 * system_buffer_bytes);
    }
}

} // namespace

} // namespace sailtiller
