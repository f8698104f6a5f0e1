// SPDX-License-Identifier: Apache-2.0
#include <support/sitefleet.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::store_access;

/// Time within which an accepted bundle must be in force on every host that reaches the store.
constexpr duration apply_limit = 2s;
// Guards against bundles that take force later than 2 s after their confirmation. A route answered 404 2.1 s
// after it had been added. The two readers were alive, but the store no longer answered them, and no other
// host replaced them, as readers were chosen among live hosts. The other hosts read for themselves within 10
// ms of each other once their state was 2.6 s old, and again 2.6 s later: a change confirmed 0.3 s after such
// a round took force 2.37 s later, and refusals reported a bundle confirmed 2.4 s before.
TEST(store_read_schedule_test, changes_are_in_force_in_time_though_both_readers_are_cut_off_from_the_store)
{
    for (duration cut_for = 0ms; cut_for < 5s; cut_for += 200ms) {
        tests::site_fleet fleet(7);
        fleet.set_access({0, 1}, store_access::silent);
        fleet.pass(cut_for);
        EXPECT_LT(fleet.measure_delay(2), apply_limit) << "the first change after the cut";
        fleet.pass(250ms);
        EXPECT_LT(fleet.measure_delay(3), apply_limit) << "one right after the hosts have read";
    }
}

TEST(store_read_schedule_test, hosts_that_reach_the_store_replace_the_readers)
{
    for (const store_access access : {store_access::silent, store_access::refuses}) {
        tests::site_fleet fleet(7);
        fleet.set_access({0, 1, 2}, access);
        fleet.pass(4s);
        for (std::uint64_t version = 2; version < 20; ++version) {
            EXPECT_LT(fleet.measure_delay(version), 500ms) << "two rounds of reports";
            fleet.pass(370ms);
        }
    }
}

TEST(store_read_schedule_test, former_readers_read_again_once_they_reach_the_store)
{
    tests::site_fleet fleet(7);
    fleet.set_access({0, 1}, store_access::silent);
    fleet.pass(6s);
    EXPECT_FALSE(fleet.is_reader(0));
    EXPECT_TRUE(fleet.is_reader(2));
    EXPECT_TRUE(fleet.is_reader(3));
    fleet.set_access({0, 1}, store_access::answers);
    fleet.pass(5s);
    EXPECT_TRUE(fleet.is_reader(0));
    EXPECT_TRUE(fleet.is_reader(1));
    EXPECT_FALSE(fleet.is_reader(2));
}

TEST(store_read_schedule_test, changes_are_in_force_in_time_after_a_store_outage)
{
    tests::site_fleet fleet(7);
    fleet.set_access({0, 1, 2, 3, 4, 5, 6}, store_access::silent);
    fleet.pass(9s);
    fleet.set_access({0, 1, 2, 3, 4, 5, 6}, store_access::answers);
    EXPECT_LT(fleet.measure_delay(2), apply_limit);
    fleet.pass(5s);
    EXPECT_LT(fleet.measure_delay(3), 500ms);
}

TEST(store_read_schedule_test, only_the_readers_read_while_the_store_answers_them)
{
    tests::site_fleet fleet(7);
    const std::size_t before = fleet.bundles().calls_made();
    fleet.pass(45s);
    // Each read takes a wait of 0.4 s and a pause of 0.05 s.
    EXPECT_LE(fleet.bundles().calls_made() - before, 2 * 100U + 2);
}

TEST(store_read_schedule_test,
    a_topic_that_the_store_fails_keeps_a_host_from_reading_for_all_while_it_answers_another)
{
    store_read_schedule reading({});
    const time_point now{100s};
    reading.note_failed(store_topic::upstreams, now);
    reading.note_answered(store_topic::bundles);
    EXPECT_FALSE(reading.reads_store());
    EXPECT_FALSE(reading.are_upstreams_due(false, 0s, now + 900ms));
    EXPECT_TRUE(reading.are_upstreams_due(false, 0s, now + 1s)) << "the read is retried";
    EXPECT_FALSE(reading.is_bundle_due(false, 0s, now + 1s)) << "no read of this topic failed";
    reading.note_answered(store_topic::upstreams);
    EXPECT_TRUE(reading.reads_store());
}

// Guards against hosts that query the others in the same order and so get the state of a reader only when its
// turn comes: 400 hosts read the store 162 times a second, beside the 2.4 reads of the two readers.
TEST(store_read_schedule_test, only_the_readers_read_in_a_large_fleet)
{
    tests::site_fleet fleet(200, 4s);
    fleet.pass(5s);
    const std::size_t before = fleet.bundles().calls_made();
    fleet.pass(10s);
    EXPECT_LE(fleet.bundles().calls_made() - before, 30U);
    EXPECT_LT(fleet.measure_delay(2), 1s);
}

TEST(store_read_schedule_test, starting_host_waits_for_other_hosts_before_its_first_read)
{
    const time_point now{100s};
    const auto is_due = [](const store_read_schedule& reading, time_point at) {
        return reading.is_bundle_due(false, std::nullopt, at)
            && reading.are_upstreams_due(false, std::nullopt, at);
    };
    store_read_schedule reading({});
    reading.note_start(now);
    EXPECT_FALSE(is_due(reading, now + 9999ms));
    EXPECT_TRUE(is_due(reading, now + 10s)) << "the store has not accepted its record";
    reading.note_records(now);
    EXPECT_TRUE(is_due(reading, now)) << "a candidate";
    reading.set_place({.is_candidate = false, .fleet_size = 100, .turn = 0.5});
    reading.note_records(now);
    EXPECT_FALSE(is_due(reading, now + 2399ms));
    EXPECT_TRUE(is_due(reading, now + 2400ms)) << "two seconds and its delay";
    reading.record_pending_transfer(now + 2s);
    EXPECT_FALSE(is_due(reading, now + 3999ms));
    EXPECT_TRUE(is_due(reading, now + 4s));
    reading.note_records(now);
    reading.record_no_peers(now + 1999ms);
    EXPECT_FALSE(is_due(reading, now + 1999ms));
    reading.record_no_peers(now + 2s);
    EXPECT_TRUE(is_due(reading, now + 2s));
}

// Guards against a slow store being overloaded: 986 hosts requested all changes at once and again each second
// while it could not answer in time, and none of them served a request.
TEST(store_read_schedule_test, non_candidates_spread_their_own_reads)
{
    const time_point now{100s};
    int due_bundles = 0;
    int due_upstreams = 0;
    for (int number = 0; number < 1000; ++number) {
        store_read_schedule reading({.apply_limit = 5s, .revoke_limit = 5s});
        reading.set_place({.is_candidate = false, .fleet_size = 1000, .turn = number / 1000.0});
        due_bundles += reading.is_bundle_due(false, 3800ms, now) ? 1 : 0;
        due_upstreams += reading.are_upstreams_due(false, 2s, now) ? 1 : 0;
        EXPECT_TRUE(reading.is_bundle_due(false, 4400ms, now)) << "while the limit leaves time for a read";
        reading.note_failed(store_topic::upstreams, now);
        EXPECT_FALSE(reading.are_upstreams_due(false, 30s, now + 19s));
        EXPECT_TRUE(reading.are_upstreams_due(false, 30s, now + 20s)) << "50 hosts a second";
    }
    EXPECT_LE(due_bundles, 100);
    EXPECT_LE(due_upstreams, 100);
}

TEST(store_read_schedule_test, few_hosts_of_a_large_fleet_read_a_slow_store_until_it_answers)
{
    tests::site_fleet fleet(200, 5s);
    fleet.pass(5s);
    const std::size_t before = fleet.upstreams().calls_made();
    fleet.set_access_of_all(store_access::silent);
    fleet.pass(5s);
    EXPECT_LE(fleet.upstreams().calls_made() - before, 400U) << "two for each host in five seconds";
    fleet.set_access_of_all(store_access::answers);
    EXPECT_LT(fleet.measure_delay(2), 5s);
}

} // namespace

} // namespace sailtiller
