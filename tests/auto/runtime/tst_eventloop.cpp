// SPDX-License-Identifier: Apache-2.0
#include <runtime/eventloop.h>
#include <runtime/h2oheaders.h>

#include <gtest/gtest.h>

#include <array>
#include <ctime>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

time_point read_time_since_boot()
{
    timespec elapsed{};
    clock_gettime(CLOCK_BOOTTIME, &elapsed);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(elapsed.tv_sec) + std::chrono::nanoseconds(elapsed.tv_nsec)));
}

// A host that was suspended for ten seconds believed its configuration, its duties and what others had told
// it to be as young as before, since the steady clock stands still meanwhile; a withdrawn key would have been
// taken. On a machine that was never suspended the two clocks agree, and this can't tell them apart.
TEST(event_loop_test, its_clock_counts_the_time_for_which_the_machine_was_suspended)
{
    const event_loop loop;
    const time_point before = read_time_since_boot();
    const time_point now = loop.now();
    const time_point after = read_time_since_boot();
    EXPECT_LE(before, now);
    EXPECT_LE(now, after);
}

// Guards against a process that h2o aborts: a large write that is begun outside a turn, and leaves the
// connection's buffer full, was polled for after its callback had run.
TEST(event_loop_test, a_large_write_outside_a_turn_ends_like_any_other)
{
    event_loop loop;
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends.data()), 0);
    h2o_socket_t* socket = h2o_evloop_socket_create(loop.native(), ends[0], 0);
    bool is_sent = false;
    socket->data = &is_sent;
    std::string bytes(std::size_t{96} << 10U, 'x'); // fits into the buffer, and leaves it too full for more
    h2o_iovec_t buffer = h2o_iovec_init(bytes.data(), bytes.size());
    h2o_socket_write(socket, &buffer, 1, [](h2o_socket_t* native, const char* failure) {
        *static_cast<bool*>(native->data) = failure == nullptr;
    });
    h2o_socket_read_start(socket, [](h2o_socket_t*, const char*) {});
    loop.run_once(duration::zero());
    EXPECT_TRUE(is_sent);
    std::size_t received = 0;
    ssize_t count = 0;
    std::array<char, 4096> part{};
    while ((count = read(ends[1], part.data(), part.size())) > 0) {
        received += static_cast<std::size_t>(count);
    }
    EXPECT_EQ(received, bytes.size());
    loop.run_once(duration::zero()); // the buffer has room again
    h2o_socket_close(socket);
    close(ends[1]);
}

} // namespace

} // namespace sailtiller::tests
