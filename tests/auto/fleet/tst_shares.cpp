// SPDX-License-Identifier: Apache-2.0
#include <fleet/ownership.h>
#include <fleet/shareallocator.h>
#include <fleet/shareclient.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

constexpr duration network_delay = 1ms;

/// Hosts that share one account's limits, each an allocator and a client, on a simulated clock.
class shares_test : public testing::Test
{
protected:
    struct test_host
    {
        host_id name;
        std::vector<host_id> listed; ///< live hosts as known to this host
        std::unique_ptr<share_allocator> home;
        std::unique_ptr<share_client> holder;
        bool is_dead = false;
        int admitted = 0;
        int refused = 0;
    };

    void add_hosts(int count)
    {
        for (int index = 0; index < count; ++index) {
            this->names.emplace_back("host-" + std::to_string(index));
        }
        for (const host_id& name : this->names) {
            auto host = std::make_unique<test_host>();
            host->name = name;
            host->listed = this->names;
            host->home = std::make_unique<share_allocator>(
                [this](const client_account_id&) { return &this->account.limits; });
            host->holder = std::make_unique<share_client>(name, this->make_hooks(*host));
            host->holder->start();
            this->hosts.push_back(std::move(host));
        }
    }

    share_hooks make_hooks(test_host& host)
    {
        share_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.live_hosts = [&host] { return host.listed; };
        hooks.query_allocator = [this, &host](const host_id& owner, const share_query& question,
                                    auto on_grants, auto on_failure) {
            if (host.is_dead) {
                return;
            }
            this->timers.schedule(this->now + network_delay, [this, owner, question, on_grants, on_failure] {
                test_host& target = this->host_named(owner);
                if (target.is_dead || this->is_parted) {
                    on_failure();
                    return;
                }
                on_grants(decode_share_grants(encode_share_grants(
                    target.home->answer(decode_share_query(encode_share_query(question)), this->now))));
            });
        };
        return hooks;
    }

    test_host& host_named(const host_id& name)
    {
        for (const auto& host : this->hosts) {
            if (host->name == name) {
                return *host;
            }
        }
        throw std::logic_error("no such host");
    }

    void send(test_host& host, int requests = 1)
    {
        for (int request = 0; request < requests; ++request) {
            host.holder->admit(this->account, [&host](const std::optional<share_refusal>& refusal) {
                (refusal ? host.refused : host.admitted) += 1;
            });
        }
    }

    void send_everywhere(int requests)
    {
        for (const auto& host : this->hosts) {
            if (!host->is_dead) {
                this->send(*host, requests);
            }
        }
        this->pass(10ms);
    }

    [[nodiscard]] int in_use() const
    {
        std::uint32_t sum = 0;
        for (const auto& host : this->hosts) {
            sum += host->is_dead ? 0 : host->holder->streams_in_use(this->account.name);
        }
        return static_cast<int>(sum);
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 1ms;
            this->timers.run_due(this->now);
        }
    }

    timer_queue timers;
    time_point now{1000s};
    client_account account{client_account_id("account"), class_id("batch"), 0, {}, {40, 0}, {}};
    bool is_parted = false;
    std::vector<host_id> names;
    std::vector<std::unique_ptr<test_host>> hosts;
};

TEST_F(shares_test, the_whole_fleet_keeps_to_a_limit_whichever_hosts_are_asked)
{
    this->add_hosts(9);
    this->send_everywhere(10);
    EXPECT_EQ(this->in_use(), 40);
    this->send_everywhere(10);
    EXPECT_EQ(this->in_use(), 40);
}

TEST_F(shares_test, one_host_may_use_the_whole_limit)
{
    this->add_hosts(9);
    this->send(*this->hosts[3], 50);
    this->pass(10ms);
    EXPECT_EQ(this->hosts[3]->admitted, 40);
    EXPECT_EQ(this->hosts[3]->refused, 10);
}

TEST_F(shares_test, a_limit_below_the_number_of_hosts_holds)
{
    this->account.limits.streams = 2;
    this->add_hosts(9);
    this->send_everywhere(1);
    EXPECT_EQ(this->in_use(), 2);
}

TEST_F(shares_test, what_one_host_no_longer_uses_another_gets)
{
    this->add_hosts(3);
    this->send(*this->hosts[0], 40);
    this->pass(10ms);
    for (int request = 0; request < 40; ++request) {
        this->hosts[0]->holder->finish(this->account.name);
    }
    this->pass(share_lease + 1s);
    this->send(*this->hosts[1], 40);
    this->pass(10ms);
    EXPECT_EQ(this->hosts[1]->admitted, 40);
}

TEST_F(shares_test, streams_in_use_are_renewed_and_counted_beyond_their_lease)
{
    this->add_hosts(3);
    this->send(*this->hosts[0], 40);
    this->pass(3 * share_lease);
    this->send(*this->hosts[1], 5);
    this->pass(10ms);
    EXPECT_EQ(this->hosts[1]->admitted, 0);
    EXPECT_EQ(this->in_use(), 40);
}

TEST_F(shares_test, requests_a_second_come_from_one_bucket_of_the_fleet)
{
    this->account.limits = {0, 20.0};
    this->add_hosts(9);
    int admitted = 0;
    for (int tenth = 0; tenth < 50; ++tenth) {
        this->send_everywhere(3);
        this->pass(90ms);
    }
    for (const auto& host : this->hosts) {
        admitted += host->admitted;
    }
    EXPECT_GE(admitted, 100);
    EXPECT_LE(admitted, 121) << "five seconds' worth and one burst";
}

TEST_F(shares_test, hosts_that_reach_no_home_go_on_within_the_stated_bound)
{
    this->add_hosts(9);
    this->is_parted = true;
    this->send_everywhere(20);
    EXPECT_GE(this->in_use(), 9) << "nobody stands still";
    EXPECT_LE(this->in_use(), 40) << "each takes its even part";
    this->account.limits.streams = 2;
    this->send_everywhere(20);
    EXPECT_LE(this->in_use(), 40);
}

TEST_F(shares_test, a_dead_home_lets_the_fleet_exceed_the_limit_by_no_more_than_the_limit)
{
    this->add_hosts(9);
    this->send_everywhere(10);
    const host_id dead = *find_owner(this->account.name.value(), this->names);
    this->host_named(dead).is_dead = true;
    std::vector<host_id> left = this->names;
    std::erase(left, dead);
    for (const auto& host : this->hosts) {
        host->listed = left;
        host->holder->note_hosts_changed();
    }
    this->send_everywhere(20);
    EXPECT_LE(this->in_use(), 80);
    this->pass(share_lease);
    for (const auto& host : this->hosts) {
        while (!host->is_dead && host->holder->streams_in_use(this->account.name) > 0) {
            host->holder->finish(this->account.name);
        }
    }
    this->pass(2 * share_lease);
    this->send_everywhere(20);
    EXPECT_EQ(this->in_use(), 40) << "the new home keeps to the limit";
}

TEST_F(shares_test, two_hosts_that_take_different_homes_are_bounded_too)
{
    this->add_hosts(9);
    const host_id owner = *find_owner(this->account.name.value(), this->names);
    std::vector<host_id> without = this->names;
    std::erase(without, owner);
    for (std::size_t index = 0; index < 4; ++index) {
        this->hosts[index]->listed = without;
    }
    this->send_everywhere(40);
    EXPECT_LE(this->in_use(), 80);
}

} // namespace

} // namespace sailtiller
