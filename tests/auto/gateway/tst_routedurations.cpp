// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <gateway/routedurations.h>

#include <gtest/gtest.h>

#include <array>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

constexpr int draws = 20'000;

/// Lengths of streams with the quantiles of a day of 1,524 of them, evenly spread between these.
class stream_lengths
{
public:
    duration draw()
    {
        constexpr std::array<double, 5> shares = {0, 0.5, 0.9, 0.95, 1};
        constexpr std::array<double, 5> seconds = {0.2, 2.2, 4.9, 5.6, 9.5};
        const double share = this->draw_share();
        std::size_t upper = 1;
        while (share > shares.at(upper)) {
            ++upper;
        }
        const std::size_t lower = upper - 1;
        const double part = (share - shares.at(lower)) / (shares.at(upper) - shares.at(lower));
        return scale(1s, seconds.at(lower) + part * (seconds.at(upper) - seconds.at(lower)));
    }
    /// Evenly between zero and one.
    double draw_share()
    {
        constexpr std::uint64_t steps = 1'000'000;
        return static_cast<double>(this->random() % steps) / static_cast<double>(steps);
    }

private:
    random_function random = make_seeded_random(1);
};

TEST(route_durations_test, nothing_is_usual_before_the_first_sample)
{
    route_durations durations;
    durations.note("chat", 2s);
    EXPECT_TRUE(durations.usual_longest("chat"));
    EXPECT_FALSE(durations.usual_longest("other"));
}

TEST(route_durations_test, two_in_100_of_lengths_with_a_long_tail_are_not_usual)
{
    route_durations durations;
    stream_lengths lengths;
    int unusual = 0;
    for (int number = 0; number < draws; ++number) {
        const duration length = lengths.draw();
        unusual += length > durations.usual_longest("chat").value_or(length) ? 1 : 0;
        durations.note("chat", length);
    }
    EXPECT_LT(unusual, draws * 25 / 1000);
    EXPECT_GT(unusual, draws * 5 / 1000) << "much longer times would refuse what ends in time";
}

TEST(route_durations_test, a_grace_of_3_of_7_6_seconds_lets_fewer_than_one_in_100_run_into_the_end)
{
    route_durations durations;
    stream_lengths lengths;
    int cut_off = 0;
    int cut_off_without = 0;
    for (int number = 0; number < draws; ++number) {
        const duration left = 7600ms - scale(3s, lengths.draw_share());
        const duration length = lengths.draw();
        const bool is_late = length > left;
        cut_off_without += is_late ? 1 : 0;
        cut_off += is_late && durations.usual_longest("chat").value_or(0s) <= left ? 1 : 0;
        durations.note("chat", length);
    }
    EXPECT_LT(cut_off, draws / 100);
    EXPECT_GT(cut_off_without, draws * 4 / 100);
}

} // namespace

} // namespace sailtiller::tests
