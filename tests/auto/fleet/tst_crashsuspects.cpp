// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <fleet/crashsuspects.h>
#include <fleet/peerreport.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

upstream_id engine(unsigned number)
{
    return upstream_id("e" + std::to_string(number));
}

class crash_suspects_test : public testing::Test
{
protected:
    void crash(crash_suspects& host, unsigned first, unsigned count)
    {
        for (unsigned number = first; number < first + count; ++number) {
            host.note_crash({this->content}, engine(number), this->now);
        }
    }

    send_decision judge(crash_suspects& host) { return host.assess({this->content}, this->now).decision; }

    /// Exchanges the records of both hosts.
    void exchange(crash_suspects& left, crash_suspects& right) const
    {
        right.handle_updates(left.list_updates(this->now), this->now);
        left.handle_updates(right.list_updates(this->now), this->now);
    }

    time_point now{std::chrono::seconds(100)};
    suspect_id content{request_content("c")};
};

TEST_F(crash_suspects_test, a_request_is_free_until_three_starts_have_crashed_under_it)
{
    crash_suspects host;
    EXPECT_TRUE(host.is_empty());
    this->crash(host, 1, 2);
    this->crash(host, 1, 2); // the same two, reported again
    EXPECT_EQ(this->judge(host), send_decision::free);
    this->crash(host, 3, 1);
    EXPECT_EQ(this->judge(host), send_decision::trial);
    EXPECT_EQ(host.assess({suspect_id(request_content("other"))}, this->now).decision, send_decision::free);
    EXPECT_EQ(host.suspect_count(suspect_kind::request), 1U);
}

TEST_F(crash_suspects_test, crashes_seen_by_different_hosts_add_up_in_any_order)
{
    crash_suspects first;
    crash_suspects second;
    crash_suspects third;
    this->crash(first, 1, 1);
    this->crash(second, 2, 1);
    this->crash(third, 3, 1);
    this->exchange(third, second);
    this->exchange(second, first);
    this->exchange(first, third);
    for (crash_suspects* host : {&first, &second, &third}) {
        EXPECT_EQ(this->judge(*host), send_decision::trial);
    }
}

TEST_F(crash_suspects_test, three_trials_are_spread_over_time_and_then_there_is_none)
{
    crash_suspects host;
    this->crash(host, 1, 3);
    host.note_trials(this->content, {1, 0}, this->now);
    const send_assessment soon = host.assess({this->content}, this->now);
    EXPECT_EQ(soon.decision, send_decision::later);
    EXPECT_EQ(soon.wait, duration(5s));
    this->now += 5s;
    EXPECT_EQ(this->judge(host), send_decision::trial);
    host.note_trials(this->content, {2, 0}, this->now);
    this->now += 29s;
    EXPECT_EQ(this->judge(host), send_decision::later);
    this->now += 1s;
    EXPECT_EQ(this->judge(host), send_decision::trial);
    host.note_trials(this->content, {3, 0}, this->now);
    this->now += 5min;
    const send_assessment last = host.assess({this->content}, this->now);
    EXPECT_EQ(last.decision, send_decision::never);
    EXPECT_EQ(last.wait, duration(10min)) << "it is worth coming back once it is forgotten";
}

TEST_F(crash_suspects_test, a_request_that_an_upstream_runs_to_its_end_is_free_on_all_hosts)
{
    crash_suspects first;
    crash_suspects second;
    this->crash(first, 1, 3);
    this->exchange(first, second);
    first.note_trials(this->content, {1, 0}, this->now);
    first.note_passed({this->content}, this->now);
    EXPECT_EQ(this->judge(first), send_decision::free);
    this->exchange(second, first); // the other host's older records don't undo the clearance
    EXPECT_EQ(this->judge(first), send_decision::free);
    EXPECT_EQ(this->judge(second), send_decision::free);
    this->crash(second, 4, 3);
    EXPECT_EQ(this->judge(second), send_decision::trial) << "what ends from now on counts anew";
}

TEST_F(crash_suspects_test, a_host_that_was_away_when_a_request_was_cleared_hears_of_it)
{
    crash_suspects first;
    crash_suspects second;
    this->crash(first, 1, 3);
    this->exchange(first, second);
    first.note_passed({this->content}, this->now);
    this->now += 2min;
    first.forget_old(this->now);
    this->exchange(second, first);
    this->exchange(first, second);
    EXPECT_EQ(this->judge(first), send_decision::free);
    EXPECT_EQ(this->judge(second), send_decision::free);
}

TEST_F(crash_suspects_test, success_of_an_unknown_request_is_not_recorded)
{
    crash_suspects host;
    host.note_passed({this->content}, this->now);
    EXPECT_TRUE(host.is_empty());
}

TEST_F(crash_suspects_test, suspects_are_remembered_from_when_they_last_came_and_others_for_a_minute)
{
    crash_suspects host;
    this->crash(host, 1, 3);
    host.note_crash({suspect_id(request_content("once"))}, engine(1), this->now);
    this->now += 61s;
    EXPECT_TRUE(host.forget_old(this->now).empty());
    EXPECT_EQ(host.record_count(), 1U);
    host.note_trials(this->content, {1, 0}, this->now);
    for (int minute = 0; minute < 30; ++minute) {
        this->now += 1min;
        host.forget_old(this->now);
        EXPECT_NE(this->judge(host), send_decision::free);
    }
    this->now += 10min + 1s;
    EXPECT_EQ(host.forget_old(this->now), suspect_list{this->content});
    EXPECT_TRUE(host.is_empty());
}

TEST_F(crash_suspects_test, memory_is_bounded_and_suspects_stay_longest)
{
    const crash_suspects_settings settings;
    crash_suspects host;
    this->crash(host, 1, 3);
    for (std::size_t number = 0; number < 3 * settings.most_records; ++number) {
        this->now += 1ms;
        host.note_crash({suspect_id(request_content(std::to_string(number)))}, engine(1), this->now);
    }
    EXPECT_EQ(host.record_count(), settings.most_records);
    EXPECT_EQ(this->judge(host), send_decision::trial);
    EXPECT_EQ(host.list_updates(this->now).size(), max_reported_crash_records);
}

TEST_F(crash_suspects_test, reports_carry_the_records_and_those_of_older_releases_none)
{
    crash_suspects host;
    this->crash(host, 1, 2);
    host.note_trials(this->content, {2, 1}, this->now);
    host.note_crash({this->content}, engine(7), this->now);
    this->now += 20ms;
    peer_report report;
    report.crashes = host.list_updates(this->now);
    const peer_report read = decode_peer_report(encode_peer_report(report));
    ASSERT_EQ(read.crashes.size(), 1U);
    const crash_record& record = read.crashes.front();
    EXPECT_EQ(record.suspect, this->content);
    ASSERT_EQ(record.crashes.size(), 1U) << "what was before the clearance is gone";
    EXPECT_EQ(record.crashes.front().upstream, engine(7));
    EXPECT_EQ(record.crashes.front().age, duration(20ms));
    EXPECT_EQ(record.trials, 2U);
    EXPECT_EQ(record.clearances, 1U);
    EXPECT_EQ(record.age, duration(20ms));
}

/// Hosts exchange reports with eight random others every quarter of a second; one in ten messages is lost.
TEST_F(crash_suspects_test, four_hundred_hosts_know_a_suspect_request_within_the_time_that_they_have)
{
    constexpr std::size_t host_count = 400;
    constexpr std::size_t asked = 8;
    constexpr duration round = 250ms;
    /// Required: 3 s for nine hosts, 5 s for three hundred.
    constexpr duration contact_time = 3s;
    const random_function random = make_seeded_random(7);
    std::vector<crash_suspects> hosts(host_count);
    for (unsigned number = 0; number < 3; ++number) {
        hosts[random() % host_count].note_crash({this->content}, engine(number), this->now);
    }
    const time_point start = this->now;
    const auto knows = [this](crash_suspects& host) { return this->judge(host) == send_decision::trial; };
    while (!std::all_of(hosts.begin(), hosts.end(), knows)) {
        this->now += round;
        for (crash_suspects& host : hosts) {
            for (std::size_t question = 0; question < asked; ++question) {
                crash_suspects& other = hosts[random() % host_count];
                if (random() % 10 != 0) {
                    this->exchange(host, other);
                }
            }
        }
        ASSERT_LE(this->now - start, contact_time);
    }
}

} // namespace

} // namespace sailtiller::tests
