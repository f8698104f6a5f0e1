// SPDX-License-Identifier: Apache-2.0
// Callers that leave their answers unread.
#include <runtime/httpserver.h>
#include <runtime/socketaddress.h>
#include <support/looprunner.h>

#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::run_until;

/// Most of a started answer that may wait for its caller.
constexpr std::size_t largest_unread_bytes = std::size_t{8} << 20U;
constexpr std::size_t block_bytes = std::size_t{64} << 10U;
/// Within this a connection must be closed once its time, or its room, is used up.
constexpr duration close_limit = 3s;

/// A caller over HTTP/1.1 that reads what the test says.
class raw_caller
{
public:
    explicit raw_caller(const endpoint& address)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int receive_buffer = block_bytes;
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        socket_address target = to_socket_address(address);
        EXPECT_EQ(connect(this->descriptor, target.pointer(), target.length), 0);
        const std::string_view request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        EXPECT_EQ(
            write(this->descriptor, request.data(), request.size()), static_cast<ssize_t>(request.size()));
    }

    ~raw_caller() { close(this->descriptor); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /// Reads up to `most` bytes of those that are there; returns how many.
    std::size_t read_some(std::size_t most)
    {
        std::string buffer(most, ' ');
        const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        buffer.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        this->received += buffer.size();
        this->tail = (this->tail + buffer);
        this->tail.erase(0, this->tail.size() - std::min<std::size_t>(this->tail.size(), 8));
        return buffer.size();
    }

    int descriptor;
    std::size_t received = 0;
    std::string tail; ///< last bytes that were read
};

class slow_callers_test : public testing::Test
{
protected:
    void start_server(const http_server_limits& limits = {})
    {
        this->server = std::make_unique<http_server>(this->loop, limits, std::nullopt,
            [this](const std::shared_ptr<http_exchange>& taken) { this->exchange = taken; });
        this->address = this->server->listen(endpoint("127.0.0.1:0"));
    }

    void run_to_request()
    {
        run_until(this->loop, [this] { return this->exchange != nullptr; });
    }

    /// Sends blocks of a started answer until its caller counts as gone. Returns how much waited at most.
    template <typename Action>
    std::size_t send_until_left(const Action& act)
    {
        const std::string block(block_bytes, 'x');
        std::size_t most = 0;
        for (std::size_t sent = 0; sent < 8 * largest_unread_bytes && !this->exchange->has_caller_left();
             sent += block.size()) {
            this->exchange->send(block);
            most = std::max(most, this->exchange->queued());
            act();
            this->loop.run_once(duration::zero());
        }
        EXPECT_TRUE(this->exchange->has_caller_left());
        return most;
    }

    void expect_closed()
    {
        const time_point start = this->loop.now();
        run_until(this->loop,
            [&] { return this->server->connection_count() == 0 || this->loop.now() - start > close_limit; });
        EXPECT_EQ(this->server->connection_count(), 0U);
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    endpoint address;
    std::shared_ptr<http_exchange> exchange;
};

TEST_F(slow_callers_test, an_answer_that_is_not_read_is_cut_at_the_bound)
{
    this->start_server();
    const raw_caller caller(this->address);
    this->run_to_request();
    bool was_abandoned = false;
    this->exchange->when_abandoned([&was_abandoned] { was_abandoned = true; });
    this->exchange->start(200, {});
    EXPECT_LE(this->send_until_left([] {}), largest_unread_bytes);
    this->expect_closed();
    EXPECT_TRUE(was_abandoned);
}

TEST_F(slow_callers_test, so_is_one_that_is_read_byte_by_byte)
{
    this->start_server();
    raw_caller caller(this->address);
    this->run_to_request();
    this->exchange->start(200, {});
    EXPECT_LE(this->send_until_left([&caller] { caller.read_some(1); }), largest_unread_bytes);
    this->expect_closed();
}

TEST_F(slow_callers_test, an_answer_that_is_read_late_comes_whole)
{
    this->start_server();
    raw_caller caller(this->address);
    this->run_to_request();
    this->exchange->start(200, {});
    const std::string block(block_bytes, 'x');
    for (std::size_t sent = 0; sent < largest_unread_bytes; sent += block.size()) {
        this->exchange->send(block);
        this->loop.run_once(duration::zero());
    }
    this->exchange->finish();
    run_until(this->loop, [&caller] {
        caller.read_some(block_bytes);
        return caller.tail.ends_with("\r\n0\r\n\r\n");
    });
    EXPECT_GT(caller.received, largest_unread_bytes);
}

TEST_F(slow_callers_test, a_whole_answer_that_is_not_read_is_cut_after_its_time)
{
    this->start_server({.unread_time = 1s});
    const raw_caller caller(this->address);
    this->run_to_request();
    this->exchange->respond({200, {}, std::string(2 * largest_unread_bytes, 'x')});
    this->exchange.reset();
    this->expect_closed();
}

TEST_F(slow_callers_test, a_whole_answer_that_is_read_slowly_comes_whole)
{
    this->start_server({.unread_time = 1s});
    raw_caller caller(this->address);
    this->run_to_request();
    this->exchange->respond({200, {}, std::string(2 * largest_unread_bytes, 'x')});
    const time_point start = this->loop.now();
    run_until(this->loop, [&] {
        const bool is_hasty = this->loop.now() - start > 4s;
        if (is_hasty || this->loop.now() - start > caller.received / (2 * block_bytes) * 100ms) {
            caller.read_some(block_bytes);
        }
        return caller.received > 2 * largest_unread_bytes;
    });
}

} // namespace

} // namespace sailtiller
