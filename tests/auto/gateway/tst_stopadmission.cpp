// SPDX-License-Identifier: Apache-2.0
#include <gateway/stopadmission.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// A host with one route of streams, told to stop: the grace ends after 3 s, the stop after 7.6 s.
class stop_admission_test : public testing::Test
{
protected:
    stop_admission_test()
    {
        service_route route;
        route.name = "chat";
        route.kind = route_kind::stream;
        route.time_limit = 20s;
        this->bundle.routes = {route};
    }

    void begin_stop() { this->admission.begin({this->now, this->now + 3s, this->now + 7600ms}); }

    delivery_order make_order(duration caller_limit = 20s)
    {
        delivery_order order;
        order.route = &this->bundle.routes.front();
        order.request.time_limit = caller_limit;
        order.arrived = this->now;
        return order;
    }

    /// Streams of this length end well, often enough for their deviation to be forgotten.
    void serve(duration length, int count = 40)
    {
        for (int number = 0; number < count; ++number) {
            const delivery_order order = this->make_order();
            this->now += length;
            this->admission.note_ended(taken_request(order), this->now);
        }
    }

    [[nodiscard]] bool takes(const delivery_order& order) const
    {
        return !this->admission.find_objection(order, this->now);
    }

    time_point now{1000s};
    site_bundle bundle;
    stop_admission admission;
};

TEST_F(stop_admission_test, everything_is_taken_while_the_host_is_not_told_to_stop)
{
    this->serve(15s);
    EXPECT_TRUE(this->takes(this->make_order()));
    EXPECT_FALSE(this->admission.takes_nothing(this->now));
}

TEST_F(stop_admission_test, a_stream_is_taken_in_the_grace_only_if_it_usually_ends_before_the_limit)
{
    this->serve(5s);
    this->begin_stop();
    EXPECT_TRUE(this->takes(this->make_order())) << "7.6 s are left";
    this->now += 2500ms;
    EXPECT_TRUE(this->takes(this->make_order())) << "5.1 s are left";
    this->now += 200ms;
    EXPECT_FALSE(this->takes(this->make_order())) << "4.9 s are left";
}

TEST_F(stop_admission_test, lengths_that_differ_much_count_with_their_deviation)
{
    for (int number = 0; number < 20; ++number) {
        this->serve(1s, 1);
        this->serve(5s, 1);
    }
    this->begin_stop();
    EXPECT_FALSE(this->takes(this->make_order())) << "the mean of 3 s alone would fit into 7.6 s";
}

TEST_F(stop_admission_test, a_route_without_a_sample_is_taken_in_the_grace)
{
    this->begin_stop();
    EXPECT_TRUE(this->takes(this->make_order()));
}

TEST_F(stop_admission_test, a_request_whose_own_time_limit_fits_is_taken)
{
    this->bundle.routes.front().time_limit = 3s;
    this->serve(15s);
    this->begin_stop();
    EXPECT_TRUE(this->takes(this->make_order(3s)));
}

TEST_F(stop_admission_test, a_caller_who_has_come_back_is_not_sent_away_again_in_the_grace)
{
    this->serve(15s);
    this->begin_stop();
    EXPECT_FALSE(this->takes(this->make_order()));
    EXPECT_TRUE(this->takes(this->make_order(19s))) << "it has spent a second on an earlier try";
    delivery_order resumed = this->make_order();
    resumed.request.last_event = 7;
    EXPECT_TRUE(this->takes(resumed));
}

TEST_F(stop_admission_test, after_the_grace_nobody_is_taken)
{
    this->begin_stop();
    this->now += 3s;
    EXPECT_TRUE(this->admission.takes_nothing(this->now));
    EXPECT_FALSE(this->takes(this->make_order()));
    EXPECT_FALSE(this->takes(this->make_order(100ms))) << "it would end in time";
    EXPECT_FALSE(this->takes(this->make_order(19s))) << "it has come back";
}

TEST_F(stop_admission_test, the_rest_of_a_stream_tells_nothing_of_the_length_of_whole_ones)
{
    this->serve(15s);
    for (int number = 0; number < 40; ++number) {
        delivery_order rest = this->make_order();
        rest.request.last_event = 7;
        this->now += 10ms;
        this->admission.note_ended(taken_request(rest), this->now);
    }
    this->begin_stop();
    EXPECT_FALSE(this->takes(this->make_order()));
}

TEST_F(stop_admission_test, what_is_cut_off_is_told_with_its_length_and_when_it_was_taken)
{
    const taken_request early(this->make_order());
    this->now += 2s;
    this->begin_stop();
    this->now += 1500ms;
    const taken_request late(this->make_order());
    this->now += 6100ms;
    EXPECT_EQ(this->admission.describe_cut(early, this->now),
        "this host stops; it ran for 9600 ms and was taken before the signal");
    EXPECT_EQ(this->admission.describe_cut(late, this->now),
        "this host stops; it ran for 6100 ms and was taken 1500 ms after the signal");
}

TEST_F(stop_admission_test, what_was_learned_of_a_route_goes_with_the_route)
{
    this->serve(15s);
    this->admission.take_bundle(this->bundle);
    this->begin_stop();
    EXPECT_FALSE(this->takes(this->make_order())) << "the bundle still has it";
    this->admission.take_bundle({});
    EXPECT_TRUE(this->takes(this->make_order()));
}

} // namespace

} // namespace sailtiller::tests
