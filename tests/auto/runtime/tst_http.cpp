// SPDX-License-Identifier: Apache-2.0
#include "silencingproxy.h"

#include <base/json.h>
#include <runtime/httpclient.h>
#include <runtime/httpserver.h>
#include <runtime/socketaddress.h>
#include <runtime/timedcall.h>
#include <runtime/wholecall.h>
#include <support/looprunner.h>

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::run_until;

class http_test : public testing::Test
{
protected:
    std::unique_ptr<http_server> make_server(
        http_server::request_handler handler, const http_server_limits& limits = {})
    {
        auto server = std::make_unique<http_server>(this->loop, limits, std::nullopt, std::move(handler));
        this->address = server->listen(endpoint("127.0.0.1:0"));
        server->when_rejected([this](const http_server_event& event) {
            this->rejected = event.status;
            ++this->rejections;
        });
        return server;
    }

    http_response get(const std::string& path, std::string body = "")
    {
        http_request request;
        request.method = body.empty() ? "GET" : "POST";
        request.path = path;
        request.body = std::move(body);
        std::optional<http_response> answer;
        this->client.send(
            this->address, request, [&](http_response response) { answer = std::move(response); },
            [&](const http_failure& failure) {
                this->failure = failure;
                answer.emplace();
            });
        run_until(this->loop, [&] { return answer.has_value(); });
        return *answer;
    }

    /// Sends bytes over a plain connection and gives all that comes back until the server closes.
    std::string exchange_raw(const std::string& bytes, bool closes_its_side = true,
        const std::function<void(const std::string& so_far)>& on_bytes = {})
    {
        socket_address target = to_socket_address(this->address);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(connect(descriptor, target.pointer(), target.length), 0);
        EXPECT_EQ(write(descriptor, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
        if (closes_its_side) {
            shutdown(descriptor, SHUT_WR);
        }
        std::string received;
        bool is_closed = false;
        run_until(this->loop, [&] {
            char buffer[4096];
            ssize_t count = 0;
            while ((count = recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
                received.append(buffer, static_cast<std::size_t>(count));
            }
            if (on_bytes) {
                on_bytes(received);
            }
            this->was_reset = count < 0 && errno == ECONNRESET;
            is_closed = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return is_closed;
        });
        close(descriptor);
        return received;
    }

    event_loop loop;
    http_client client{this->loop, {}};
    endpoint address;
    int rejected = 0; ///< the newest status, 0 for a connection that ended without a request
    int rejections = 0;
    bool was_reset = false; ///< the plain connection that was used last
    std::optional<http_failure> failure;
};

TEST_F(http_test, carries_a_request_and_its_answer)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({201, {{"x-request-id", "1"}, {"x-seen", exchange->request().path}},
            exchange->request().body.text() + "!"});
    });
    const http_response answer = this->get("/a?b=c", "body");
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "body!");
    EXPECT_EQ(find_header(answer.headers, "x-seen"), "/a?b=c");
}

TEST_F(http_test, an_answer_that_had_begun_is_the_last_of_its_connection_once_the_server_closes)
{
    std::shared_ptr<http_exchange> under_way;
    const auto server = this->make_server([&under_way](const std::shared_ptr<http_exchange>& exchange) {
        under_way = exchange;
        exchange->start(200, {{"x-request-id", "1"}});
        exchange->send("first");
    });
    // The head has promised to keep the connection. What follows on it must find it closed, not a process
    // that reads the request and ends before it can answer.
    bool was_closed = false;
    const std::string received =
        this->exchange_raw("GET / HTTP/1.1\r\nhost: a\r\n\r\n", false, [&](const std::string& so_far) {
            if (so_far.find("first") != std::string::npos && !was_closed) {
                was_closed = true;
                server->close_after_answers();
                under_way->finish();
            }
        });
    EXPECT_NE(received.find("200 OK"), std::string::npos);
    EXPECT_EQ(received.find("Connection: close"), std::string::npos);
    EXPECT_EQ(received.substr(received.size() - 5), "0\r\n\r\n") << "a whole answer";
}

TEST_F(http_test, answers_after_that_tell_that_their_connection_ends)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({200, {}, "x"});
    });
    server->close_after_answers();
    const std::string received = this->exchange_raw("GET / HTTP/1.1\r\nhost: a\r\n\r\n", false);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

TEST_F(http_test, keeps_its_connections_and_streams_of_unknown_length)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->start(200, {{"x-request-id", "1"}});
        for (int part = 0; part < 5; ++part) {
            exchange->send(std::to_string(part));
        }
        exchange->finish();
    });
    for (int call = 0; call < 3; ++call) {
        EXPECT_EQ(this->get("/").body, "01234");
    }
    EXPECT_EQ(server->connection_count(), 1U);
}

TEST_F(http_test, a_broken_off_answer_is_a_failure_after_sending)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->start(200, {{"x-request-id", "1"}});
        exchange->send("half");
        exchange->abort();
    });
    this->get("/");
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->progress, http_progress::sent);
}

TEST_F(http_test, a_broken_off_answer_holds_nothing_that_is_no_chunk)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->start(200, {{"x-request-id", "1"}});
        exchange->send("half");
        exchange->abort();
    });
    const std::string received = this->exchange_raw("GET / HTTP/1.1\r\nhost: a\r\n\r\n", false);
    EXPECT_NE(received.find("transfer-encoding: chunked"), std::string::npos);
    EXPECT_TRUE(received.ends_with("\r\n4\r\nhalf\r\n") || received.ends_with("\r\n4\r\nhalf")) << received;
}

// Guards against a part of an answer that a caller takes for whole: over HTTP/1.0 the close is its end.
TEST_F(http_test, a_broken_off_answer_over_http_1_0_is_reset)
{
    const auto server = this->make_server([this](const std::shared_ptr<http_exchange>& exchange) {
        exchange->start(200, {{"x-request-id", "1"}});
        exchange->send("half");
        this->loop.schedule_after(20ms, [exchange] { exchange->abort(); });
    });
    const std::string received = this->exchange_raw("GET / HTTP/1.0\r\nhost: a\r\n\r\n", false);
    EXPECT_EQ(received.find("chunked"), std::string::npos);
    EXPECT_TRUE(this->was_reset) << received;
}

TEST_F(http_test, a_kept_connection_at_rest_is_closed_and_one_at_work_is_not)
{
    std::shared_ptr<http_exchange> open;
    const auto server = this->make_server([&open](const std::shared_ptr<http_exchange>& exchange) {
        if (exchange->request().path == "/slow") {
            open = exchange;
            return;
        }
        exchange->respond({200, {}, "quick"});
    });
    EXPECT_EQ(this->get("/").body, "quick");
    ASSERT_EQ(server->connection_count(), 1U);
    server->close_idle_connections();
    run_until(this->loop, [&server] { return server->connection_count() == 0; });

    http_request request;
    request.method = "GET";
    request.path = "/slow";
    std::optional<http_response> answer;
    this->client.send(
        this->address, request, [&](http_response response) { answer = std::move(response); },
        [](const http_failure& failure) { FAIL() << failure.reason; });
    run_until(this->loop, [&open] { return open != nullptr; });
    server->close_idle_connections();
    open->respond({200, {}, "whole"});
    run_until(this->loop, [&answer] { return answer.has_value(); });
    EXPECT_EQ(answer->body, "whole");
    open.reset();
}

TEST_F(http_test, a_request_that_crosses_the_close_is_not_taken)
{
    std::size_t taken = 0;
    const auto server = this->make_server([&taken](const std::shared_ptr<http_exchange>& exchange) {
        ++taken;
        exchange->respond({200, {}, "taken"});
    });
    socket_address target = to_socket_address(this->address);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(connect(descriptor, target.pointer(), target.length), 0);
    run_until(this->loop, [&server] { return server->connection_count() == 1; });
    server->close_idle_connections();
    const std::string_view late = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    send(descriptor, late.data(), late.size(), MSG_NOSIGNAL);
    run_until(this->loop, [&server] { return server->connection_count() == 0; });
    EXPECT_EQ(taken, 0U);
    close(descriptor);
}

TEST_F(http_test, a_refused_connection_is_a_failure_before_sending)
{
    this->make_server([](const std::shared_ptr<http_exchange>&) {}).reset();
    this->get("/");
    ASSERT_TRUE(this->failure);
    EXPECT_EQ(this->failure->progress, http_progress::not_sent);
    EXPECT_EQ(this->failure->step, "connect");
}

TEST_F(http_test, a_body_that_is_too_large_gets_an_error_of_our_shape)
{
    http_server_limits limits;
    limits.most_body_bytes = 100;
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>&) { FAIL(); }, limits);
    const std::string answer =
        this->exchange_raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n");
    EXPECT_NE(answer.find(" 413 "), std::string::npos);
    const json body = json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
    EXPECT_EQ(body["error"]["outcome"], "not-run");
    EXPECT_EQ(this->rejected, 413);
}

TEST_F(http_test, a_body_without_end_is_cut_at_the_limit)
{
    http_server_limits limits;
    limits.most_body_bytes = 100;
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>&) { FAIL(); }, limits);
    const std::string chunk = "40\r\n" + std::string(64, 'x') + "\r\n";
    const std::string answer = this->exchange_raw(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + chunk + chunk);
    EXPECT_NE(answer.find(" 413 "), std::string::npos);
}

TEST_F(http_test, headers_that_are_too_large_are_refused)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>&) { FAIL(); });
    const std::string answer =
        this->exchange_raw("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-large: "
            + std::string(100'000, 'x') + "\r\n\r\n");
    EXPECT_NE(answer.find(" 431 "), std::string::npos);
    EXPECT_EQ(this->rejected, 431);
}

TEST_F(http_test, malformed_bytes_disturb_nobody_else)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({200, {{"x-request-id", "1"}}, "fine"});
    });
    this->exchange_raw("\x01\x02 nonsense\r\n\r\n");
    EXPECT_EQ(this->get("/").body, "fine");
}

TEST_F(http_test, a_handler_that_throws_costs_only_its_own_request)
{
    int calls = 0;
    const auto server = this->make_server([&calls](const std::shared_ptr<http_exchange>& exchange) {
        if (++calls == 1) {
            throw std::runtime_error("a fault");
        }
        exchange->respond({200, {{"x-request-id", "1"}}, "fine"});
    });
    const http_response failed = this->get("/");
    EXPECT_EQ(failed.status, 500);
    EXPECT_EQ(json::parse(failed.body)["error"]["outcome"], "unknown");
    EXPECT_EQ(this->rejected, 500);
    EXPECT_EQ(this->get("/").body, "fine");
}

TEST_F(http_test, a_slow_sender_is_ended_after_the_time_limit)
{
    http_server_limits limits;
    limits.request_time = 100ms;
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>&) { FAIL(); }, limits);
    this->exchange_raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nonly a part", false);
    EXPECT_EQ(server->connection_count(), 0U);
    EXPECT_EQ(this->rejections, 1) << "it is counted";
}

TEST_F(http_test, limits_that_change_hold_for_open_connections)
{
    const auto server = this->make_server(
        [](const std::shared_ptr<http_exchange>& exchange) {
            exchange->respond({200, {}, ""});
        },
        {.request_time = 60s, .header_time = 60s, .idle_time = 60s});
    server->set_limits({.most_body_bytes = 4, .request_time = 60s, .header_time = 60s, .idle_time = 300ms});
    EXPECT_EQ(this->get("/", "12345").status, 413);
    const std::string rested = this->exchange_raw("GET / HTTP/1.1\r\nhost: a\r\n\r\n", false);
    EXPECT_EQ(rested.substr(0, 12), "HTTP/1.1 200") << "answered, and closed by this side after its rest";
}

TEST_F(http_test, headers_that_do_not_end_in_time_end_the_connection)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>&) {},
        {.request_time = 60s, .header_time = 300ms, .idle_time = 60s});
    EXPECT_EQ(this->exchange_raw("GET / HTTP/1.1\r\nhost", false), "");
    run_until(this->loop, [this] { return this->rejections == 1; });
}

TEST_F(http_test, a_connection_half_closed_before_its_body_was_whole_is_ended)
{
    const auto server = this->make_server([](const std::shared_ptr<http_exchange>&) { FAIL(); });
    this->exchange_raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nonly a part");
    EXPECT_EQ(server->connection_count(), 0U);
    EXPECT_EQ(this->rejections, 1) << "it is counted";
}

TEST_F(http_test, a_caller_that_goes_away_is_noticed)
{
    bool is_abandoned = false;
    std::shared_ptr<http_exchange> held;
    const auto server = this->make_server([&](const std::shared_ptr<http_exchange>& exchange) {
        held = exchange;
        exchange->when_abandoned([&] { is_abandoned = true; });
        exchange->start(200, {{"x-request-id", "1"}});
    });
    http_request request;
    request.method = "GET";
    request.path = "/";
    const http_client::call_id call = this->client.send(
        this->address, request, [](const http_response&) {}, [](const http_failure&) {});
    run_until(this->loop, [&] { return held != nullptr; });
    EXPECT_FALSE(held->has_caller_left());
    this->client.cancel(call);
    run_until(this->loop, [&] { return held->has_caller_left(); });
    held->send("token");
    run_until(this->loop, [&] {
        held->send("token");
        return is_abandoned;
    });
}

/// Calls over a proxy to a server that answers once so many calls wait.
class kept_connections_test : public http_test
{
protected:
    kept_connections_test()
    {
        this->server = this->make_server([this](const std::shared_ptr<http_exchange>& exchange) {
            this->held.push_back(exchange);
            if (this->held.size() < this->answered_together) {
                return;
            }
            for (const auto& item : std::exchange(this->held, {})) {
                item->respond({200, {{"x-request-id", "1"}}, "answer"});
            }
        });
        this->proxy = std::make_unique<tests::silencing_proxy>(this->address);
    }

    static http_request make_request()
    {
        http_request request;
        request.method = "GET";
        request.path = "/";
        return request;
    }

    /// A call of the kind under test: tells at its end whether it was answered.
    using start_call = std::function<void(duration limit, std::function<void(bool)> on_end)>;

    start_call timed_calls()
    {
        return [this](duration limit, const std::function<void(bool)>& on_end) {
            send_timed(
                this->loop, this->client, {this->proxy->address(), make_request(), limit, {"call", "peer"}},
                [on_end](const http_response&) { on_end(true); }, [on_end](const error&) { on_end(false); });
        };
    }

    start_call whole_calls(connection_pool& pool)
    {
        return [this, &pool](duration limit, const std::function<void(bool)>& on_end) {
            send_whole(this->loop, {this->proxy->address(), make_request(), limit, &pool},
                [on_end](const whole_call_result& result) { on_end(result.response.has_value()); });
        };
    }

    /// Starts calls together and gives how many of them were answered.
    int count_answers(const start_call& start, int calls, duration limit)
    {
        int ended = 0;
        int answered = 0;
        this->answered_together = static_cast<std::size_t>(calls);
        for (int call = 0; call < calls; ++call) {
            start(limit, [&ended, &answered](bool is_answered) {
                ++ended;
                answered += is_answered ? 1 : 0;
            });
        }
        run_until(this->loop, [&] {
            this->proxy->pump();
            return ended == calls;
        });
        return answered;
    }

    void expect_one_time_out(const start_call& start)
    {
        ASSERT_EQ(this->count_answers(start, 3, 5s), 3);
        ASSERT_EQ(this->proxy->connection_count(), 3U);
        this->proxy->silence();
        EXPECT_EQ(this->count_answers(start, 1, 50ms), 0);
        EXPECT_EQ(this->count_answers(start, 1, 2s), 1);
        EXPECT_EQ(this->proxy->connection_count(), 4U);
    }

    std::vector<std::shared_ptr<http_exchange>> held;
    std::size_t answered_together = 1;
    std::unique_ptr<http_server> server;
    std::unique_ptr<tests::silencing_proxy> proxy;
};

// What users would see: a host that lost the store or an engine for a moment stays without it for several
// time limits in a row, though a new connection would work.
// Order of events: calls that overlapped leave several connections to one target; all of them go silent
// without a reset; a call over one ends at its limit, the next call takes the next one, and so on. Cause: a
// call that ended at its limit closed its own connection only. Evidence: found by reading; in the two tests
// that follow, the call after the first time-out found no answer either, and no connection was made.
TEST_F(kept_connections_test, several_that_have_gone_silent_cost_one_time_out)
{
    this->expect_one_time_out(this->timed_calls());
}

TEST_F(kept_connections_test, several_that_have_gone_silent_cost_one_time_out_of_calls_to_upstreams)
{
    connection_pool pool(this->loop, {});
    this->expect_one_time_out(this->whole_calls(pool));
}

TEST_F(kept_connections_test, one_that_has_carried_an_answer_during_the_silent_call_stays)
{
    connection_pool pool(this->loop, {});
    const start_call start = this->whole_calls(pool);
    ASSERT_EQ(this->count_answers(start, 1, 5s), 1);
    this->proxy->silence();
    std::optional<bool> silent_call;
    start(200ms, [&silent_call](bool is_answered) { silent_call = is_answered; });
    EXPECT_EQ(this->count_answers(start, 1, 5s), 1);
    ASSERT_FALSE(silent_call.has_value());
    run_until(this->loop, [&] { return silent_call.has_value(); });
    EXPECT_EQ(silent_call, false);
    EXPECT_EQ(pool.kept_count(), 1U);
    EXPECT_EQ(this->count_answers(start, 1, 5s), 1);
    EXPECT_EQ(this->proxy->connection_count(), 2U);
}

TEST_F(kept_connections_test, those_to_other_targets_stay)
{
    connection_pool pool(this->loop, {});
    ASSERT_EQ(this->count_answers(this->whole_calls(pool), 2, 5s), 2);
    ASSERT_EQ(pool.kept_count(), 2U);
    pool.drop_idle(endpoint("127.0.0.1:1"), this->loop.now());
    EXPECT_EQ(pool.kept_count(), 2U);
    pool.drop_idle(this->proxy->address(), this->loop.now());
    EXPECT_EQ(pool.kept_count(), 0U);
}

} // namespace

} // namespace sailtiller
