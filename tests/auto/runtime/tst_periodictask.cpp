// SPDX-License-Identifier: Apache-2.0
#include <runtime/periodictask.h>
#include <support/looprunner.h>

#include <gtest/gtest.h>

#include <stdexcept>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::run_until;

// Guards against a task that is gone for good after one exception, while its host goes on.
TEST(periodic_task_test, goes_on_after_a_run_that_ends_by_an_exception)
{
    event_loop loop;
    std::vector<std::string> told;
    loop.when_task_fails([&told](const std::string& task) { told.push_back(task); });
    unsigned runs = 0;
    periodic_task task(loop, "look", 1ms, [&runs] {
        ++runs;
        if (runs <= 2) {
            throw std::runtime_error("no address");
        }
    });
    task.start();
    EXPECT_EQ(task.failures_in_a_row(), 1U);
    run_until(loop, [&runs] { return runs >= 5; });
    EXPECT_EQ(told, (std::vector<std::string>{"look", "look"}));
    EXPECT_EQ(task.failures_in_a_row(), 0U);
}

TEST(periodic_task_test, ends_when_it_is_told_to_within_a_run)
{
    event_loop loop;
    unsigned runs = 0;
    periodic_task task(loop, "look", 1ms, [&] {
        if (++runs == 3) {
            task.stop();
        }
    });
    task.start_after(1ms);
    run_until(loop, [&runs] { return runs == 3; });
    bool is_later = false;
    loop.schedule_after(20ms, [&is_later] { is_later = true; });
    run_until(loop, [&is_later] { return is_later; });
    EXPECT_EQ(runs, 3U);
    EXPECT_FALSE(task.is_started());
}

TEST(periodic_task_test, runs_no_more_once_it_is_destroyed)
{
    event_loop loop;
    unsigned runs = 0;
    {
        periodic_task task(loop, "look", 1ms, [&runs] { ++runs; });
        task.start();
    }
    bool is_later = false;
    loop.schedule_after(20ms, [&is_later] { is_later = true; });
    run_until(loop, [&is_later] { return is_later; });
    EXPECT_EQ(runs, 1U);
}

} // namespace

} // namespace sailtiller
