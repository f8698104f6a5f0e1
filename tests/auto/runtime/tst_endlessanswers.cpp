// SPDX-License-Identifier: Apache-2.0
// Answers that go on without end, over real connections.
#include <runtime/httpcall.h>
#include <runtime/peerclient.h>
#include <runtime/timedcall.h>
#include <runtime/wholecall.h>
#include <support/endlessserver.h>
#include <support/looprunner.h>

#include <ostream>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::endless_server;
using tests::run_until;
using tests::system_buffer_bytes;

/// Within this the connection of an answer must be closed once it is past its bounds.
constexpr duration close_limit = 1s;
/// Between two bytes of a slow answer.
constexpr duration byte_pause = 100ms;
/// Largest head that a sound upstream sends, and the time for it.
constexpr std::size_t largest_head_bytes = std::size_t{64} << 10U;
constexpr duration longest_head_time = 2500ms;
/// Largest message of another host.
constexpr std::size_t largest_peer_message_bytes = std::size_t{64} << 20U;

struct endless_answer
{
    const char* name;
    std::string beginning;
    std::string filler;
};

std::ostream& operator<<(std::ostream& out, const endless_answer& answer)
{
    return out << answer.name;
}

std::string name_of_parameter(const testing::TestParamInfo<endless_answer>& info)
{
    return info.param.name;
}

/// True if the reason names a bound of bytes, or of heads, and not one of time.
bool names_room(const std::string& reason)
{
    return reason.find("exceeds") != std::string::npos || reason.find("more than") != std::string::npos;
}

http_request make_request()
{
    http_request request;
    request.method = "GET";
    request.path = "/";
    request.headers = {{"host", "a"}};
    return request;
}

/// What the handlers of a call were told.
struct call_record
{
    int status = 0;
    std::size_t body_bytes = 0;
    std::optional<call_ending> ending;
    std::string reason;
};

class endless_answers_test : public testing::TestWithParam<endless_answer>
{
protected:
    /// Calls the server and returns what came of it once the call has ended.
    call_record call(endless_server& server, const http_call_options& options = {})
    {
        const auto record = std::make_shared<call_record>();
        http_call_handlers handlers;
        handlers.on_head = [record](int status, const http_headers&) { record->status = status; };
        handlers.on_body = [record](std::string_view part) { record->body_bytes += part.size(); };
        handlers.on_end = [record](call_ending ending, const std::string& reason) {
            record->ending = ending;
            record->reason = reason;
        };
        http_call::start(this->loop, server.address(), make_request(), options, std::move(handlers));
        this->run_with(server, [&record] { return record->ending.has_value(); });
        return *record;
    }

    template <typename Condition>
    void run_with(endless_server& server, const Condition& is_done)
    {
        run_until(this->loop, [&] {
            server.pump();
            return is_done();
        });
    }

    /// Expects that the caller has closed the connection.
    void expect_closed(endless_server& server)
    {
        const time_point start = this->loop.now();
        this->run_with(
            server, [&] { return server.open_count() == 0 || this->loop.now() - start > close_limit; });
        EXPECT_EQ(server.open_count(), 0U);
    }

    event_loop loop;
};

class endless_heads_test : public endless_answers_test
{
};

TEST_P(endless_heads_test, the_call_is_broken_off_at_the_bound)
{
    endless_server server(GetParam().beginning, GetParam().filler);
    const call_record record = this->call(server);
    EXPECT_EQ(record.ending, call_ending::broken);
    EXPECT_TRUE(names_room(record.reason)) << record.reason;
    EXPECT_EQ(record.status, 0);
    this->expect_closed(server);
    EXPECT_LE(server.sent_bytes(), largest_head_bytes + system_buffer_bytes);
}

TEST_P(endless_heads_test, a_slow_head_is_broken_off_after_its_time)
{
    endless_server server(GetParam().beginning, GetParam().filler, byte_pause);
    const time_point start = this->loop.now();
    const call_record record = this->call(server);
    EXPECT_LE(this->loop.now() - start, longest_head_time + close_limit);
    EXPECT_EQ(record.ending, call_ending::broken);
    EXPECT_EQ(record.status, 0);
    this->expect_closed(server);
}

INSTANTIATE_TEST_SUITE_P(heads, endless_heads_test,
    testing::Values(endless_answer{"status_line", "HTTP/1.1 200 ", "O"},
        endless_answer{"header", "HTTP/1.1 200 OK\r\na: ", "b"},
        endless_answer{"headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
        endless_answer{"blank_lines", "", "\r\n"},
        endless_answer{"interim_heads", "", "HTTP/1.1 102 Processing\r\n\r\n"}),
    &name_of_parameter);

TEST_F(endless_answers_test, a_change_of_protocol_that_was_not_asked_for_is_no_answer)
{
    endless_server server("HTTP/1.1 101 Switching\r\nupgrade: a\r\nconnection: upgrade\r\n\r\n", "x");
    EXPECT_EQ(this->call(server).ending, call_ending::broken);
    this->expect_closed(server);
}

TEST_F(endless_answers_test, an_endless_chunk_head_or_trailer_ends_the_call)
{
    for (const char* beginning : {"5;", "0\r\na: "}) {
        endless_server server(
            std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n") + beginning, "b");
        EXPECT_EQ(this->call(server).ending, call_ending::broken);
        this->expect_closed(server);
        EXPECT_LE(server.sent_bytes(), 2 * largest_head_bytes + system_buffer_bytes);
    }
}

TEST_F(endless_answers_test, bytes_without_end_after_a_whole_answer_are_not_read)
{
    endless_server server("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", "x");
    connection_pool pool(this->loop, {});
    const call_record record = this->call(server, {.pool = &pool});
    EXPECT_EQ(record.ending, call_ending::whole);
    EXPECT_EQ(record.body_bytes, 4U);
    this->expect_closed(server);
}

TEST_F(endless_answers_test, a_large_sound_answer_is_whole)
{
    const std::string body(std::size_t{32} << 20U, 'x');
    endless_server server(
        "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "");
    const call_record record = this->call(server);
    EXPECT_EQ(record.ending, call_ending::whole);
    EXPECT_EQ(record.body_bytes, body.size());
}

TEST_F(endless_answers_test, a_slow_sound_body_is_whole)
{
    endless_server server("HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n", "x", byte_pause);
    EXPECT_EQ(this->call(server).ending, call_ending::whole);
}

const auto endless_bodies = testing::Values(
    endless_answer{"promised", "HTTP/1.1 200 OK\r\ncontent-length: 1099511627776\r\n\r\n", "x"},
    endless_answer{"chunked", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
    endless_answer{"until_close", "HTTP/1.1 200 OK\r\n\r\n", "x"});

class endless_bodies_test : public endless_answers_test
{
};

INSTANTIATE_TEST_SUITE_P(bodies, endless_bodies_test, endless_bodies, &name_of_parameter);

TEST_P(endless_bodies_test, a_small_call_fails_at_the_bound)
{
    endless_server server(GetParam().beginning, GetParam().filler);
    std::optional<whole_call_result> result;
    send_whole(this->loop, {server.address(), make_request(), 60s},
        [&result](const whole_call_result& told) { result = told; });
    this->run_with(server, [&result] { return result.has_value(); });
    EXPECT_FALSE(result->response.has_value());
    EXPECT_TRUE(names_room(result->failure)) << result->failure;
    this->expect_closed(server);
    EXPECT_LE(server.sent_bytes(), system_buffer_bytes);
}

TEST_P(endless_bodies_test, a_call_to_a_service_of_the_platform_fails_at_the_bound)
{
    endless_server server(GetParam().beginning, GetParam().filler);
    http_client client(this->loop, {});
    std::string failure;
    timed_call call{server.address(), make_request(), 60s, {"test", ""}};
    call.max_body_bytes = std::size_t{1} << 20U;
    send_timed(
        this->loop, client, call, [](const http_response&) { ADD_FAILURE() << "it has no end"; },
        [&failure](const error& told) { failure = told.reason(); });
    this->run_with(server, [&failure] { return !failure.empty(); });
    EXPECT_TRUE(names_room(failure)) << failure;
    this->expect_closed(server);
    EXPECT_LE(server.sent_bytes(), 2 * system_buffer_bytes);
}

TEST_P(endless_bodies_test, a_call_of_a_client_fails_after_its_time)
{
    endless_server server(GetParam().beginning, GetParam().filler, byte_pause);
    http_client client(this->loop, {});
    std::optional<http_failure> failure;
    client.send(
        server.address(), make_request(), [](const http_response&) { ADD_FAILURE() << "it has no end"; },
        [&failure](const http_failure& told) { failure = told; }, {.time = 500ms});
    this->run_with(server, [&failure] { return failure.has_value(); });
    EXPECT_EQ(failure->progress, http_progress::sent);
    EXPECT_EQ(client.calls_in_flight(), 0U);
    this->expect_closed(server);
}

TEST_P(endless_bodies_test, a_slow_one_ends_at_the_time_limit)
{
    endless_server server(GetParam().beginning, GetParam().filler, byte_pause);
    std::optional<whole_call_result> result;
    send_whole(this->loop, {server.address(), make_request(), 500ms},
        [&result](const whole_call_result& told) { result = told; });
    this->run_with(server, [&result] { return result.has_value(); });
    EXPECT_FALSE(result->response.has_value());
    this->expect_closed(server);
}

/// A frame of HTTP/2 without flags.
std::string make_frame(char type, char stream, const std::string& payload)
{
    const auto length = static_cast<unsigned>(payload.size());
    std::string frame = {static_cast<char>(length >> 16U), static_cast<char>(length >> 8U),
        static_cast<char>(length), type, 0, 0, 0, 0, stream};
    return frame + payload;
}

class endless_peers_test : public endless_answers_test
{
protected:
    /// Asks a host that sends these frames and expects that its connection is closed.
    void expect_failure(const std::string& beginning, const std::string& filler)
    {
        endless_server server(beginning, filler);
        peer_client client(this->loop, 1s);
        std::optional<peer_failure> failure;
        client.ask(
            server.address(), "any", "", 30s, [](const std::string&) { ADD_FAILURE() << "it has no end"; },
            [&failure](const peer_failure& told) { failure = told; });
        this->run_with(server, [&failure] { return failure.has_value(); });
        EXPECT_EQ(failure->kind, peer_failure_kind::no_answer);
        this->expect_closed(server);
        EXPECT_LE(server.sent_bytes(), largest_peer_message_bytes + 2 * system_buffer_bytes);
    }

    const std::string settings_frame = make_frame(4, 0, "");
};

TEST_F(endless_peers_test, an_endless_reply_is_broken_off)
{
    const std::string head = make_frame(1, 1, "\x88").replace(4, 1, "\x04"); // whole headers, status 200
    this->expect_failure(
        this->settings_frame + head, make_frame(0, 1, std::string(std::size_t{16} << 10U, 'x')));
}

TEST_F(endless_peers_test, endless_headers_are_broken_off)
{
    const std::string fields("\x00\x01\x61\x01\x62", 5); // a: b
    this->expect_failure(this->settings_frame + make_frame(1, 1, "\x88"), make_frame(9, 1, fields));
}

TEST_F(endless_peers_test, frames_of_no_message_are_broken_off)
{
    this->expect_failure(this->settings_frame, make_frame(0x20, 0, std::string(1024, 'x')));
}

TEST_F(endless_peers_test, bytes_that_are_no_frames_are_broken_off)
{
    this->expect_failure("", "HTTP/1.1 400 Bad Request\r\n\r\n");
}

} // namespace

} // namespace sailtiller
