// SPDX-License-Identifier: Apache-2.0
#include <routing/headroom.h>

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <tuple>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

constexpr double slots = 192;

/// Hosts that know each other by reports of an age between 0.25 and 2 s, and heads that run requests for 2 to
/// 5.6 s. Requests without a slot wait in a queue at their head.
class fleet
{
public:
    fleet(std::size_t host_count, std::size_t head_count)
        : random(make_seeded_random(host_count * 100 + head_count))
        , groups(std::min<std::size_t>(host_count, 16))
        , heads(head_count)
    {
        for (std::size_t head = 0; head < head_count; ++head) {
            this->ids.emplace_back(std::to_string(head));
        }
        for (std::size_t number = 0; number < host_count; ++number) {
            host& item = this->hosts.emplace_back(make_seeded_random(this->random()));
            item.own.resize(head_count);
            item.others.resize(head_count);
            item.room.set_live_hosts(host_count, 1);
        }
    }

    /// Plays `time` with `demand` times the requests for which the heads have room.
    void play(double demand, duration time)
    {
        const double rate = demand * slots * static_cast<double>(this->heads.size())
            / std::chrono::duration<double>(mean_use).count();
        for (const time_point end = this->now + time; this->now < end; this->now += step) {
            this->end_requests();
            if (this->now.time_since_epoch() % 250ms == 0s) {
                this->exchange_reports();
            }
            this->arrive(rate * std::chrono::duration<double>(step).count());
            for (const head_state& head : this->heads) {
                const double load = static_cast<double>(head.streams());
                this->busiest = std::max(this->busiest, load);
                this->load_sum += load;
            }
            ++this->steps;
        }
    }

    void forget_measurements()
    {
        this->busiest = this->load_sum = 0;
        this->steps = 0;
        for (head_state& item : this->heads) {
            item.arrivals = 0;
        }
    }
    [[nodiscard]] double mean_use_share() const
    {
        return this->load_sum / static_cast<double>(this->steps * this->heads.size()) / slots;
    }
    [[nodiscard]] double busiest_share() const { return this->busiest / slots; }
    [[nodiscard]] double busiest_arrivals_over_mean() const
    {
        double most = 0;
        double sum = 0;
        for (const head_state& item : this->heads) {
            most = std::max(most, item.arrivals);
            sum += item.arrivals;
        }
        return most * static_cast<double>(this->heads.size()) / sum;
    }

private:
    static constexpr duration step = 10ms;
    static constexpr duration mean_use = 3800ms;
    struct host
    {
        explicit host(random_function random)
            : room(std::move(random))
        {
        }
        headroom room;
        std::vector<double> own; ///< by head
        std::vector<double> others;
    };
    struct head_state
    {
        using run = std::tuple<time_point, std::size_t, duration>; ///< end, host, time of use
        std::priority_queue<run, std::vector<run>, std::greater<>> running;
        std::deque<std::size_t> queue;
        double arrivals = 0;
        [[nodiscard]] std::size_t streams() const { return this->running.size() + this->queue.size(); }
    };
    using counts = std::vector<std::vector<double>>; ///< by group of hosts and head

    double draw() { return std::ldexp(static_cast<double>(this->random() >> 11U), -53); }

    void run(head_state& head, std::size_t sender)
    {
        const duration use(static_cast<duration::rep>((2.0 + 3.6 * this->draw()) * 1e6));
        head.running.push({this->now + use, sender, use});
    }

    void end_requests()
    {
        for (std::size_t index = 0; index < this->heads.size(); ++index) {
            head_state& head = this->heads[index];
            while (!head.running.empty() && std::get<0>(head.running.top()) <= this->now) {
                const auto [end, sender, use] = head.running.top();
                --this->hosts[sender].own[index];
                this->hosts[sender].room.note_ended(use);
                head.running.pop();
                if (!head.queue.empty()) {
                    this->run(head, head.queue.front());
                    head.queue.pop_front();
                }
            }
        }
    }

    void exchange_reports()
    {
        counts present(this->groups, std::vector<double>(this->heads.size()));
        for (std::size_t number = 0; number < this->hosts.size(); ++number) {
            for (std::size_t head = 0; head < this->heads.size(); ++head) {
                present[number % this->groups][head] += this->hosts[number].own[head];
            }
        }
        this->history.push_front(std::move(present));
        this->history.resize(std::min<std::size_t>(this->history.size(), 9));
        for (std::size_t number = 0; number < this->hosts.size(); ++number) {
            host& item = this->hosts[number];
            std::fill(item.others.begin(), item.others.end(), 0);
            for (std::size_t group = 0; group < this->groups; ++group) {
                const std::size_t age =
                    std::min<std::size_t>(1 + this->random() % 8, this->history.size() - 1);
                const counts& seen = this->history[group == number % this->groups ? 0 : age];
                for (std::size_t head = 0; head < this->heads.size(); ++head) {
                    item.others[head] += seen[group][head];
                }
            }
            for (std::size_t head = 0; head < this->heads.size(); ++head) {
                item.others[head] -= item.own[head];
            }
            item.room.note_round(this->list_heads(item), this->now);
        }
    }

    [[nodiscard]] std::vector<head_slots> list_heads(const host& item) const
    {
        std::vector<head_slots> list;
        for (std::size_t head = 0; head < this->heads.size(); ++head) {
            list.push_back(
                {this->ids[head], slots, item.own[head] + item.others[head], item.own[head], true});
        }
        return list;
    }

    void arrive(double expected)
    {
        for (double left = -std::log(1 - this->draw()); left < expected; left -= std::log(1 - this->draw())) {
            const std::size_t number = this->random() % this->hosts.size();
            host& item = this->hosts[number];
            const head_choice choice = item.room.choose(this->list_heads(item), this->now);
            if (choice.is_bound && !choice.head) {
                continue;
            }
            const std::size_t chosen =
                choice.head ? std::stoul(choice.head->value()) : this->random() % this->heads.size();
            item.room.note_sent();
            ++item.own[chosen];
            ++this->heads[chosen].arrivals;
            if (static_cast<double>(this->heads[chosen].running.size()) < slots) {
                this->run(this->heads[chosen], number);
            } else {
                this->heads[chosen].queue.push_back(number);
            }
        }
    }

    random_function random;
    std::size_t groups;
    std::vector<host> hosts;
    std::vector<head_state> heads;
    std::vector<upstream_id> ids; ///< of the heads
    std::deque<counts> history;
    time_point now{100s};
    double busiest = 0;
    double load_sum = 0;
    std::size_t steps = 0;
};

/// Plays several demands over few and many heads. The bounds are the targets of docs/design/head-choice.md.
void expect_heads_used_and_not_overfilled(std::size_t hosts)
{
    for (const std::size_t heads : {8U, 24U}) {
        for (const double demand : {0.8, 1.0, 1.3, 2.0}) {
            SCOPED_TRACE(std::to_string(hosts) + " hosts, " + std::to_string(heads) + " heads, demand "
                + std::to_string(demand));
            fleet item(hosts, heads);
            item.play(demand, 12s);
            EXPECT_LT(item.busiest_share(), 1.1) << "from an empty start";
            item.forget_measurements();
            item.play(demand, 8s);
            EXPECT_LT(item.busiest_share(), 1.1);
            if (demand > 1) {
                EXPECT_GT(item.mean_use_share(), 0.9);
            }
            EXPECT_LT(item.busiest_arrivals_over_mean(), 1.5);
        }
    }
}

class fleet_headroom_test : public testing::TestWithParam<std::size_t>
{
};

TEST_P(fleet_headroom_test, heads_are_used_and_not_overfilled)
{
    expect_heads_used_and_not_overfilled(GetParam());
}

INSTANTIATE_TEST_SUITE_P(hosts, fleet_headroom_test, testing::Values(9, 87));

TEST(large_fleet_headroom_test, heads_are_used_and_not_overfilled)
{
    expect_heads_used_and_not_overfilled(300);
    expect_heads_used_and_not_overfilled(1000);
}

class headroom_test : public testing::Test
{
protected:
    headroom_test() { this->room.set_live_hosts(87, 0.5); }

    void note_rounds(const std::vector<head_slots>& heads, duration time)
    {
        for (const time_point end = this->now + time; this->now < end; this->now += 250ms) {
            this->room.note_round(heads, this->now);
        }
    }
    /// Sends requests every 10 ms for `time` where a head has a slot left. Returns the number sent to each.
    std::map<std::string, int> send_for(const std::vector<head_slots>& heads, duration time)
    {
        std::map<std::string, int> sent;
        for (const time_point end = this->now + time; this->now < end; this->now += 10ms) {
            if (const head_choice choice = this->room.choose(heads, this->now); choice.head) {
                ++sent[choice.head->value()];
                this->room.note_sent();
            }
        }
        return sent;
    }

    const upstream_id a{"a"};
    const upstream_id b{"b"};
    time_point now{100s};
    headroom room{make_seeded_random(1)};
};

TEST_F(headroom_test, slots_that_are_hardly_used_leave_the_choice_open)
{
    const std::vector<head_slots> heads = {{this->a, 192, 90, 90}, {this->b, 192, 10, 10}};
    for (int count = 0; count < 1000; ++count) {
        EXPECT_FALSE(this->room.choose(heads, this->now).is_bound);
        this->room.note_sent();
    }
    EXPECT_FALSE(this->room.choose({}, this->now).is_bound);
}

TEST_F(headroom_test, a_host_sends_its_share_of_the_free_slots_in_proportion_to_them)
{
    // 87 hosts share 32.4 and 82.4 slots in two seconds: 1.3 requests of each.
    const std::vector<head_slots> heads = {{this->a, 192, 150, 2}, {this->b, 192, 100, 1}};
    this->note_rounds(heads, 1s);
    std::map<std::string, int> sent = this->send_for(heads, 200s);
    EXPECT_NEAR(sent["a"] + sent["b"], 100 * 114.8 / 87, 13);
    EXPECT_NEAR(1.0 * sent["b"] / sent["a"], 82.4 / 32.4, 0.3);
}

TEST_F(headroom_test, full_heads_get_only_requests_that_may_exceed_the_share)
{
    const std::vector<head_slots> heads = {{this->a, 192, 192, 2}, {this->b, 192, 200, 1}};
    EXPECT_TRUE(this->send_for(heads, 4s).empty());
    EXPECT_FALSE(this->room.choose(heads, this->now, true).head) << "no head has room";
    const std::vector<head_slots> next = {{this->a, 192, 180, 2}};
    this->send_for(next, 1s);
    EXPECT_FALSE(this->room.choose(next, this->now).head);
    EXPECT_TRUE(this->room.choose(next, this->now, true).head);
}

TEST_F(headroom_test, heads_of_the_own_hall_are_preferred_unless_they_are_much_fuller)
{
    this->room.set_live_hosts(2, 0.5);
    const std::vector<head_slots> even = {{this->a, 192, 120, 2, true}, {this->b, 192, 120, 1, false}};
    EXPECT_FALSE(this->send_for(even, 2s).contains("b"));
    const std::vector<head_slots> uneven = {{this->a, 192, 175, 2, true}, {this->b, 192, 100, 1, false}};
    std::map<std::string, int> sent = this->send_for(uneven, 60s);
    EXPECT_GT(sent["b"], sent["a"]);
    EXPECT_GT(sent["a"], 0);
}

TEST_F(headroom_test, a_returned_head_is_filled_gradually)
{
    this->room.set_live_hosts(1, 1);
    const std::vector<head_slots> one = {{this->a, 192, 150, 150}};
    const std::vector<head_slots> both = {{this->a, 192, 150, 150}, {this->b, 192, 60, 60}};
    this->note_rounds(both, 1s);
    this->note_rounds(one, 1s);
    this->room.note_round(both, this->now);
    const std::map<std::string, int> first = this->send_for(both, 250ms);
    this->note_rounds(both, 2s);
    std::map<std::string, int> later = this->send_for(both, 250ms);
    EXPECT_LT(first.contains("b") ? first.at("b") : 0, later["b"] / 2);
}

} // namespace

} // namespace sailtiller
