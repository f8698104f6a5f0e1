// SPDX-License-Identifier: Apache-2.0
#include <runtime/eventloop.h>

#include <gtest/gtest.h>

#include <ctime>

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

} // namespace

} // namespace sailtiller::tests
