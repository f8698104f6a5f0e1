// SPDX-License-Identifier: Apache-2.0
#include <runtime/eventlog.h>
#include <runtime/loglimiter.h>

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

TEST(log_limiter, bounds_each_event_by_itself_and_counts_what_is_left_out)
{
    log_limiter limiter({.lines_per_second = 10, .burst = 3});
    const time_point now{100s};
    for (int line = 0; line < 3; ++line) {
        EXPECT_TRUE(limiter.ask("storm", now).may_write);
    }
    EXPECT_FALSE(limiter.ask("storm", now).may_write);
    EXPECT_FALSE(limiter.ask("storm", now).may_write);
    EXPECT_TRUE(limiter.ask("quiet", now).may_write);
    const log_limiter::verdict later = limiter.ask("storm", now + 100ms);
    EXPECT_TRUE(later.may_write);
    EXPECT_EQ(later.left_out, 2U);
    EXPECT_EQ(limiter.ask("storm", now + 1s).left_out, 0U);
}

/// Standard output as a pipe that the test reads, or doesn't.
class event_log_test : public testing::Test
{
public:
    event_log_test()
    {
        fflush(stdout);
        EXPECT_EQ(pipe2(this->ends, O_CLOEXEC), 0);
        this->kept = dup(STDOUT_FILENO);
        dup2(this->ends[1], STDOUT_FILENO);
        set_up_log({.least = log_level::info, .layout = log_layout::json});
    }

    ~event_log_test() override
    {
        dup2(this->kept, STDOUT_FILENO);
        for (const int descriptor : {this->kept, this->ends[0], this->ends[1]}) {
            close(descriptor);
        }
    }

    event_log_test(const event_log_test&) = delete;
    event_log_test& operator=(const event_log_test&) = delete;

protected:
    std::string read_all() const
    {
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = read(this->ends[0], buffer, sizeof(buffer))) > 0) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    int ends[2] = {-1, -1};
    int kept = -1;
};

TEST_F(event_log_test, an_output_that_nobody_reads_stops_nothing)
{
    // All events in turn, none oftener than its own bound allows, so that only the full pipe holds lines
    // back.
    constexpr std::size_t lines = 2000;
    for (std::size_t line = 0; line < lines; ++line) {
        log_event(log_level::info, all_event_types[line % all_event_types.size()],
            {{"line", std::to_string(line)}, {"text", std::string(200, 'x')}});
    }
    const std::string first = this->read_all();
    EXPECT_NE(first.find("\"line\":\"0\""), std::string::npos);
    EXPECT_EQ(first.find("\"line\":\"" + std::to_string(lines - 1) + "\""), std::string::npos);
    log_event(log_level::info, event_type::stopped, {});
    const std::string second = this->read_all();
    EXPECT_NE(second.find("log_lines_left_out"), std::string::npos) << second;
    EXPECT_NE(second.find("\"event\":\"stopped\""), std::string::npos);
}

TEST_F(event_log_test, an_overlong_line_stays_one_sound_line)
{
    log_event(log_level::info, event_type::sent, {{"text", std::string(10'000, 'x')}});
    const std::string text = this->read_all();
    EXPECT_LT(text.size(), 1000U);
    EXPECT_NE(text.find("\"event\":\"sent\""), std::string::npos);
}

} // namespace

} // namespace sailtiller
