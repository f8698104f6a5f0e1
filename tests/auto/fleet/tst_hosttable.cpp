// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <fleet/hosttable.h>

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

known_host make_host(const std::string& name, const std::string& hall = "x")
{
    return {host_id(name), endpoint("127.0.0.1:1"), data_hall_id(hall)};
}

peer_report make_report(const known_host& sender)
{
    peer_report report;
    report.sender = sender;
    return report;
}

class host_table_test : public testing::Test
{
protected:
    time_point now{100s};
    host_table table{make_host("b"), {}};
};

TEST_F(host_table_test, a_host_is_live_while_it_is_heard)
{
    this->table.add(make_host("a"), this->now);
    EXPECT_EQ(this->table.live_count(this->now), 1U) << "a record alone proves nothing";
    this->table.note_heard(make_report(make_host("a")), this->now);
    EXPECT_EQ(this->table.live_count(this->now + 1499ms), 2U);
    EXPECT_EQ(this->table.live_count(this->now + 1500ms), 1U);
}

TEST_F(host_table_test, a_leaving_host_is_not_live_and_its_work_still_counts)
{
    peer_report report = make_report(make_host("a"));
    report.is_leaving = true;
    report.work.push_back({upstream_id("u"), 50, 2});
    this->table.note_heard(report, this->now);
    EXPECT_EQ(this->table.live_count(this->now), 1U);
    EXPECT_EQ(this->table.sum_work(this->now).at(upstream_id("u")).requests, 2U);
}

TEST_F(host_table_test, ranks_follow_the_ids_of_the_live_hosts)
{
    EXPECT_EQ(this->table.own_rank(this->now), 0U);
    this->table.note_heard(make_report(make_host("a")), this->now);
    this->table.note_heard(make_report(make_host("c")), this->now);
    EXPECT_EQ(this->table.own_rank(this->now), 1U);
    EXPECT_EQ(this->table.own_rank(this->now + 2s), 0U);
}

TEST_F(host_table_test, the_first_two_hosts_that_the_store_answers_read_it_for_all)
{
    peer_report cut_off = make_report(make_host("a"));
    cut_off.reads_store = false;
    this->table.note_heard(cut_off, this->now);
    this->table.note_heard(make_report(make_host("a2")), this->now);
    this->table.note_heard(make_report(make_host("c")), this->now);
    EXPECT_TRUE(this->table.is_reader(true, this->now)) << "the second of those that are answered";
    EXPECT_FALSE(this->table.is_reader(false, this->now));
    this->table.note_heard(make_report(make_host("a")), this->now);
    EXPECT_FALSE(this->table.is_reader(true, this->now)) << "two others come first";
}

TEST_F(host_table_test, a_reader_of_a_large_fleet_is_heard_in_turn_and_counts_until_its_turn_was_missed)
{
    // 301 others, eight of them asked every 250 ms: a turn takes 9.4 s.
    for (int number = 0; number < 299; ++number) {
        this->table.add(make_host("c" + std::to_string(number)), this->now);
    }
    this->table.note_heard(make_report(make_host("a1")), this->now);
    this->table.note_heard(make_report(make_host("a2")), this->now);
    EXPECT_FALSE(this->table.is_reader(true, this->now + 10s));
    EXPECT_TRUE(this->table.is_reader(true, this->now + 20s)) << "both missed two turns";
}

TEST_F(host_table_test, a_reader_of_a_small_fleet_is_missed_soon)
{
    this->table.note_heard(make_report(make_host("a1")), this->now);
    this->table.note_heard(make_report(make_host("a2")), this->now);
    EXPECT_FALSE(this->table.is_reader(true, this->now + 1499ms));
    EXPECT_TRUE(this->table.is_reader(true, this->now + 1500ms));
}

TEST_F(host_table_test, while_the_store_answers_nobody_the_first_two_hosts_go_on_asking)
{
    for (const char* name : {"a", "c"}) {
        peer_report report = make_report(make_host(name));
        report.reads_store = false;
        this->table.note_heard(report, this->now);
    }
    EXPECT_TRUE(this->table.is_reader(false, this->now));
    EXPECT_TRUE(this->table.is_reader(true, this->now));
}

TEST_F(host_table_test, work_is_summed_over_the_others)
{
    for (const char* name : {"a", "c"}) {
        peer_report report = make_report(make_host(name));
        report.work.push_back({upstream_id("u"), 100, 3});
        this->table.note_heard(report, this->now);
    }
    EXPECT_EQ(this->table.sum_work(this->now).at(upstream_id("u")).requests, 6U);
    EXPECT_EQ(this->table.sum_work(this->now).at(upstream_id("u")).token_layers, 200);
    EXPECT_TRUE(this->table.sum_work(this->now + 2s).empty());
}

TEST_F(host_table_test, a_host_with_a_record_is_unheard_until_it_speaks_or_stays_silent)
{
    this->table.add(make_host("a"), this->now);
    this->table.add(make_host("c"), this->now);
    EXPECT_EQ(this->table.unheard_count(this->now), 2U);
    this->table.note_heard(make_report(make_host("a")), this->now);
    EXPECT_EQ(this->table.unheard_count(this->now), 1U);
    EXPECT_EQ(this->table.unheard_count(this->now + 1500ms), 0U);
}

TEST_F(host_table_test, a_new_host_asks_all_live_ones_at_each_round)
{
    this->table.note_start(this->now);
    this->table.note_heard(make_report(make_host("far", "y")), this->now);
    EXPECT_EQ(this->table.choose_asked(this->now).size(), 1U);
    EXPECT_EQ(this->table.choose_asked(this->now + 100ms).size(), 1U);
    this->table.note_heard(make_report(make_host("far", "y")), this->now + 2s);
    EXPECT_FALSE(this->table.is_new(this->now + 2s));
    EXPECT_EQ(this->table.choose_asked(this->now + 2s).size(), 1U);
    EXPECT_TRUE(this->table.choose_asked(this->now + 2250ms).empty());
}

TEST_F(host_table_test, its_own_hall_is_asked_in_each_round_and_others_less_often)
{
    this->table.note_heard(make_report(make_host("near")), this->now);
    this->table.note_heard(make_report(make_host("far", "y")), this->now);
    EXPECT_EQ(this->table.choose_asked(this->now).size(), 2U);
    const std::vector<known_host> next = this->table.choose_asked(this->now + 250ms);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].id.value(), "near");
    EXPECT_EQ(this->table.choose_asked(this->now + 500ms).size(), 2U);
}

TEST_F(host_table_test, a_gone_host_is_asked_now_and_then_and_forgotten_at_last)
{
    this->table.note_heard(make_report(make_host("a")), this->now);
    EXPECT_EQ(this->table.choose_asked(this->now + 2s).size(), 1U);
    EXPECT_TRUE(this->table.choose_asked(this->now + 3s).empty());
    EXPECT_EQ(this->table.choose_asked(this->now + 4s).size(), 1U);
    EXPECT_TRUE(this->table.choose_asked(this->now + 61s).empty());
}

TEST_F(host_table_test, no_round_asks_more_than_the_bound)
{
    for (int number = 0; number < 30; ++number) {
        this->table.note_heard(make_report(make_host("h" + std::to_string(number))), this->now);
    }
    std::set<host_id> asked;
    for (int round = 0; round < 4; ++round) {
        const std::vector<known_host> chosen = this->table.choose_asked(this->now + round * 250ms);
        EXPECT_EQ(chosen.size(), 8U);
        for (const known_host& host : chosen) {
            asked.insert(host.id);
        }
    }
    EXPECT_EQ(asked.size(), 30U) << "all have their turn";
}

TEST_F(host_table_test, hosts_that_fell_silent_lately_are_counted_among_those_heard_within_a_time)
{
    EXPECT_EQ(this->table.heard_count(this->now, 10s), 1U);
    this->table.note_heard(make_report(make_host("a")), this->now);
    peer_report leaving = make_report(make_host("c"));
    leaving.is_leaving = true;
    this->table.note_heard(leaving, this->now);
    this->now += 5s;
    EXPECT_EQ(this->table.live_count(this->now), 1U);
    EXPECT_EQ(this->table.heard_count(this->now, 10s), 3U);
    this->now += 5s;
    EXPECT_EQ(this->table.heard_count(this->now, 10s), 1U);
}

TEST_F(host_table_test, its_own_word_goes_before_what_others_tell)
{
    this->table.note_heard(make_report(make_host("a", "new")), this->now);
    this->table.add(make_host("a", "old"), this->now);
    EXPECT_EQ(this->table.live_hosts(this->now)[0].data_hall.value(), "new");
}

TEST(peer_report, survives_the_way_there)
{
    peer_report report = make_report(make_host("a"));
    report.is_leaving = true;
    report.bundle_version = 12;
    report.bundle_age = 1500ms;
    report.entries_offset = 99;
    report.store_disturbed_age = 7ms;
    report.are_entries_whole = true;
    report.changes = {{"k", "v"}, {"gone", std::nullopt}};
    report.work = {{upstream_id("u"), 1000, 4}};
    report.suspicions = {{upstream_id("s"), 300ms}};
    report.unwilling = {{upstream_id("w"), 900ms}};
    report.signs = {{upstream_id("p"), 2.5, 40ms}};
    report.holdings = {{upstream_id("h"), 3, 9, 250ms}};
    report.leaving_upstreams = {upstream_id("l")};
    report.hosts = {make_host("c", "y")};
    const peer_report read = decode_peer_report(encode_peer_report(report));
    EXPECT_EQ(read.sender, report.sender);
    EXPECT_TRUE(read.is_leaving);
    EXPECT_EQ(read.bundle_version, 12U);
    EXPECT_EQ(*read.bundle_age, duration(1500ms));
    EXPECT_EQ(*read.entries_offset, 99U);
    EXPECT_FALSE(read.entries_age.has_value());
    EXPECT_EQ(*read.store_disturbed_age, duration(7ms));
    EXPECT_TRUE(read.are_entries_whole);
    ASSERT_EQ(read.signs.size(), 1U);
    EXPECT_EQ(read.signs[0].id.value(), "p");
    EXPECT_EQ(read.signs[0].pace, 2.5);
    EXPECT_EQ(read.signs[0].age, duration(40ms));
    ASSERT_EQ(read.holdings.size(), 1U);
    EXPECT_EQ(read.holdings[0].id.value(), "h");
    EXPECT_EQ(read.holdings[0].begin, 3U);
    EXPECT_EQ(read.holdings[0].end, 9U);
    EXPECT_EQ(read.holdings[0].age, duration(250ms));
    ASSERT_EQ(read.changes.size(), 2U);
    EXPECT_EQ(*read.changes[0].value, "v");
    EXPECT_FALSE(read.changes[1].value.has_value());
    EXPECT_EQ(read.work[0].token_layers, 1000);
    EXPECT_EQ(read.suspicions[0].left, duration(300ms));
    ASSERT_EQ(read.unwilling.size(), 1U);
    EXPECT_EQ(read.unwilling[0].id.value(), "w");
    EXPECT_EQ(read.unwilling[0].left, duration(900ms));
    EXPECT_EQ(read.leaving_upstreams, report.leaving_upstreams);
    EXPECT_EQ(read.hosts[0], report.hosts[0]);
}

TEST(peer_report, malformed_bytes_are_an_error)
{
    EXPECT_THROW(decode_peer_report("nonsense"), error);
    EXPECT_THROW(decode_peer_report(""), error);
}

/// A fleet of that many hosts, each with a table of its own, that asks and answers under a paused clock.
struct large_fleet
{
    static constexpr std::size_t host_count = 295;

    large_fleet()
    {
        for (std::size_t number = 0; number < host_count; ++number) {
            this->hosts.push_back(make_host("host-" + std::to_string(number)));
        }
        for (const known_host& host : this->hosts) {
            host_table& own = this->tables.emplace(host.id, host_table(host, {})).first->second;
            for (const known_host& other : this->hosts) {
                own.add(other, this->now);
            }
            own.note_start(this->now);
        }
    }

    [[nodiscard]] peer_report report_of(const known_host& host) const
    {
        peer_report report = make_report(host);
        report.work.push_back({upstream_id("u"), 100, 2});
        return report;
    }

    void run_round()
    {
        for (const known_host& asker : this->hosts) {
            if (this->dead.count(asker.id) != 0) {
                continue;
            }
            for (const known_host& asked : this->tables.at(asker.id).choose_asked(this->now)) {
                if (this->dead.count(asked.id) == 0) {
                    this->tables.at(asked.id).note_heard(this->report_of(asker), this->now);
                    this->tables.at(asker.id).note_heard(this->report_of(asked), this->now);
                }
            }
        }
    }

    void run_for(duration time)
    {
        const bool is_new = this->tables.begin()->second.is_new(this->now);
        const duration round = is_new ? duration(100ms) : duration(250ms);
        for (const time_point end = this->now + time; this->now < end; this->now += round) {
            this->run_round();
        }
    }

    [[nodiscard]] std::set<host_id> list_candidates() const
    {
        std::set<host_id> candidates;
        for (const known_host& host : this->hosts) {
            if (this->dead.count(host.id) == 0
                && this->tables.at(host.id).is_duty_candidate(true, this->now)) {
                candidates.insert(host.id);
            }
        }
        return candidates;
    }

    time_point now{100s};
    std::vector<known_host> hosts;
    std::map<host_id, host_table> tables;
    std::set<host_id> dead;
};

/// Each test has the fleet as it is twelve seconds after the start of all hosts.
class large_fleet_test : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        started = std::make_unique<large_fleet>();
        started->run_for(1s);
        candidates_after_a_second = started->list_candidates().size();
        started->run_for(11s);
    }

    static void TearDownTestSuite() { started.reset(); }

    static std::unique_ptr<large_fleet> started;
    static std::size_t candidates_after_a_second;
    large_fleet fleet = *started;
};

std::unique_ptr<large_fleet> large_fleet_test::started;
std::size_t large_fleet_test::candidates_after_a_second = 0;

TEST_F(large_fleet_test, few_hosts_are_candidates_for_the_duties)
{
    EXPECT_LE(candidates_after_a_second, 30U);
    EXPECT_EQ(this->fleet.list_candidates().size(), 3U);
}

TEST_F(large_fleet_test, others_step_in_when_all_candidates_are_lost_at_once)
{
    this->fleet.dead = this->fleet.list_candidates();
    this->fleet.run_for(2s);
    EXPECT_EQ(this->fleet.list_candidates().size(), 3U);
}

TEST_F(large_fleet_test, work_of_hosts_whose_turn_has_not_come_is_reckoned_in)
{
    const unsigned others = 2 * (large_fleet::host_count - 1);
    for (const known_host& host : this->fleet.hosts) {
        const auto sums = this->fleet.tables.at(host.id).sum_work(this->fleet.now);
        EXPECT_NEAR(sums.at(upstream_id("u")).requests, others, others / 10.0) << host.id;
    }
}

TEST_F(large_fleet_test, work_of_lost_hosts_is_not_reckoned_in_for_long)
{
    for (std::size_t number = 0; number < large_fleet::host_count / 2; ++number) {
        this->fleet.dead.insert(this->fleet.hosts[number].id);
    }
    this->fleet.run_for(12s);
    const auto sums = this->fleet.tables.at(this->fleet.hosts.back().id).sum_work(this->fleet.now);
    const unsigned left = 2 * (large_fleet::host_count - large_fleet::host_count / 2 - 1);
    EXPECT_NEAR(sums.at(upstream_id("u")).requests, left, left / 5.0);
}

TEST_F(large_fleet_test, reports_name_a_few_hosts_and_all_of_them_by_turns)
{
    const host_table& table = this->fleet.tables.at(this->fleet.hosts.front().id);
    std::set<host_id> told;
    for (std::size_t round = 0; round < large_fleet::host_count; ++round) {
        const std::vector<known_host> few = table.hosts_to_tell(round, this->fleet.now);
        EXPECT_LE(few.size(), 12U);
        for (const known_host& host : few) {
            told.insert(host.id);
        }
    }
    EXPECT_EQ(told.size(), table.live_count(this->fleet.now));
}

} // namespace

} // namespace sailtiller
