// SPDX-License-Identifier: Apache-2.0
#include <fleet/bundlefollower.h>
#include <support/fakelog.h>
#include <support/sampleactivation.h>
#include <support/samplebundle.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::fake_log;
using tests::sample_operator;

/// One host's follower on the test's clock.
struct test_host
{
    test_host(const std::string& name, const trust_settings& trust, fake_log& log, timer_hooks timers,
        std::function<std::vector<host_id>()> live_hosts)
        : follower(make_settings(name, trust), make_hooks(log, std::move(timers), std::move(live_hosts)))
    {
    }

    static follower_settings make_settings(const std::string& name, const trust_settings& trust)
    {
        follower_settings settings;
        settings.self = host_id(name);
        settings.trust = trust;
        settings.renewal = {90s, 2s};
        settings.renewal_interval = 1s;
        settings.max_unpinned_bytes = 100'000;
        return settings;
    }

    follower_hooks make_hooks(
        fake_log& log, timer_hooks timers, std::function<std::vector<host_id>()> live_hosts)
    {
        follower_hooks hooks;
        hooks.log = log.hooks();
        hooks.timers = std::move(timers);
        hooks.live_hosts = std::move(live_hosts);
        hooks.ask_peers = [this](const std::vector<part_digest>& missing) {
            if (this->ask_peers) {
                this->ask_peers(missing);
            }
            return std::size_t{this->ask_peers ? 1U : 0U};
        };
        hooks.on_bundle = [this](const std::shared_ptr<const bundle_in_force>& next) {
            this->generations.push_back(next->source.generation.value());
        };
        hooks.on_event = [this](event_type kind, const std::string&, const std::string&) {
            this->events.emplace_back(name_of(kind));
        };
        return hooks;
    }

    std::function<void(const std::vector<part_digest>&)> ask_peers;
    std::vector<std::uint64_t> generations;
    std::vector<std::string> events;
    bundle_follower follower;
};

class bundle_follower_test : public testing::Test
{
protected:
    test_host& add_host(const std::string& name)
    {
        this->names.emplace_back(name);
        this->hosts.push_back(std::make_unique<test_host>(name, this->trust, this->log,
            make_timer_hooks(this->timers, [this] { return this->now; }), [this] { return this->names; }));
        return *this->hosts.back();
    }

    /// Publishes a bundle of so many accounts and activates it.
    void activate(const std::string& name, std::uint32_t accounts)
    {
        this->activate(tests::make_sample_bundle({.accounts = accounts}, name));
    }

    void activate(const bundle& content)
    {
        const bundle_part_set set = cut_into_parts(content);
        for (const bundle_part& part : set.parts) {
            this->append(part);
        }
        this->append(set.manifest);
        this->append(this->anna.activate(this->reference, set.manifest.digest));
    }

    void append(const log_record& record)
    {
        this->reference.read(this->log.append(encode_record(record)), record);
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 50ms;
            this->timers.run_due(this->now);
        }
    }

    timer_queue timers;
    time_point now{1000s};
    fake_log log{this->timers, [this] { return this->now; }};
    sample_operator anna{"anna"};
    trust_settings trust = tests::trust_in({&this->anna});
    activation_fold reference{this->trust}; ///< state of an undisturbed reader of the whole log
    std::vector<host_id> names;
    std::vector<std::unique_ptr<test_host>> hosts;
};

TEST_F(bundle_follower_test, takes_each_bundle_into_force_once)
{
    test_host& host = this->add_host("a");
    host.follower.start();
    this->pass(1s);
    EXPECT_TRUE(host.generations.empty());
    this->activate("one", 3);
    this->activate("two", 4);
    this->pass(1s);
    EXPECT_EQ(host.generations.back(), 2U);
    EXPECT_EQ(host.follower.in_force()->content.accounts.size(), 4U);
    EXPECT_EQ(host.follower.status().failure, "");
}

TEST_F(bundle_follower_test, a_bundle_without_enough_sign_offs_is_refused_and_the_old_one_stays)
{
    test_host& host = this->add_host("a");
    host.follower.start();
    this->activate("one", 3);
    this->pass(1s);
    bundle strict = tests::make_sample_bundle({.accounts = 5}, "strict");
    strict.required_sign_offs = 2;
    this->activate(strict);
    this->pass(1s);
    EXPECT_EQ(host.generations, std::vector<std::uint64_t>{1});
    EXPECT_EQ(host.follower.status().known_generation, generation_number(2));
    EXPECT_NE(host.follower.status().failure.find("sign-offs"), std::string::npos);
    this->activate("three", 6);
    this->pass(1s);
    EXPECT_EQ(host.generations.back(), 3U) << "a later sound bundle takes force";
}

TEST_F(bundle_follower_test, malformed_records_are_reported_and_skipped)
{
    test_host& host = this->add_host("a");
    host.follower.start();
    this->reference.skip(this->log.append("nonsense"));
    this->activate("one", 3);
    this->pass(1s);
    EXPECT_EQ(host.generations.size(), 1U);
    EXPECT_EQ(host.events, std::vector<std::string>{"malformed_record"});
}

TEST_F(bundle_follower_test, an_outage_of_the_log_leaves_the_bundle_in_force)
{
    test_host& host = this->add_host("a");
    host.follower.start();
    this->activate("one", 3);
    this->pass(1s);
    this->log.is_down = true;
    this->pass(600s);
    EXPECT_FALSE(host.follower.status().is_log_reachable);
    EXPECT_EQ(host.follower.status().applied_generation, generation_number(1));
    this->log.is_down = false;
    this->activate("two", 4);
    this->pass(9s);
    EXPECT_EQ(host.generations.back(), 2U);
}

TEST_F(bundle_follower_test, bundle_in_force_is_renewed_by_few_appends)
{
    for (int index = 0; index < 20; ++index) {
        this->add_host("host-" + std::to_string(index)).follower.start();
    }
    this->activate("one", 3);
    const std::size_t records = this->log.appends();
    this->pass(60s);
    const std::size_t carried = this->log.appends() - records;
    EXPECT_GE(carried, records) << "every record was carried";
    EXPECT_LE(carried, 2 * records) << "and few of them by more than one host";
    // The original records may now expire: a fresh host still finds the bundle in force.
    this->log.expire(carried);
    test_host& fresh = this->add_host("fresh");
    fresh.follower.start();
    this->pass(2s);
    EXPECT_EQ(fresh.generations, std::vector<std::uint64_t>{1});
}

TEST_F(bundle_follower_test, a_fresh_host_serves_from_a_peer_when_the_log_is_down)
{
    test_host& peer = this->add_host("a");
    peer.follower.start();
    this->activate("one", 3);
    this->pass(1s);
    this->log.is_down = true;
    test_host& fresh = this->add_host("b");
    fresh.ask_peers = [&](const std::vector<part_digest>& missing) {
        if (const std::optional<peer_bundle_state> state = peer.follower.answer_peer(missing)) {
            fresh.follower.handle_peer_state(*state);
        }
    };
    fresh.follower.start();
    this->pass(7s);
    EXPECT_EQ(fresh.generations, std::vector<std::uint64_t>{1});
}

TEST_F(bundle_follower_test, a_fresh_host_starts_from_a_peer_and_reads_only_the_rest_of_the_log)
{
    test_host& peer = this->add_host("a");
    peer.follower.start();
    this->activate("one", 3);
    this->pass(1s);
    const log_offset end = this->log.end();
    test_host& fresh = this->add_host("b");
    fresh.ask_peers = [&](const std::vector<part_digest>& missing) {
        if (const std::optional<peer_bundle_state> state = peer.follower.answer_peer(missing)) {
            fresh.follower.handle_peer_state(decode_bundle_state(encode_bundle_state(*state)));
        }
    };
    this->log.lowest_read = end;
    fresh.follower.start();
    this->pass(1s);
    EXPECT_EQ(fresh.generations, std::vector<std::uint64_t>{1});
    EXPECT_EQ(this->log.lowest_read, end) << "nothing before the peer's offset was read again";
    this->activate("two", 4);
    this->pass(1s);
    EXPECT_EQ(fresh.generations.back(), 2U);
}

TEST_F(bundle_follower_test, a_bundle_whose_parts_every_host_has_dropped_is_found_in_the_log_again)
{
    test_host& host = this->add_host("a");
    host.follower.start();
    this->activate("one", 3);
    const bundle_part_set early = cut_into_parts(tests::make_sample_bundle({.accounts = 5}, "early"));
    for (const bundle_part& part : early.parts) {
        this->append(part);
    }
    this->append(early.manifest);
    const bundle_part_set large = cut_into_parts(tests::make_sample_bundle({.accounts = 2000}, "large"));
    for (const bundle_part& part : large.parts) {
        this->append(part);
    }
    this->pass(1s);
    ASSERT_EQ(host.follower.parts().find(early.manifest.digest), nullptr) << "the early parts were dropped";
    this->append(this->anna.activate(this->reference, early.manifest.digest));
    EXPECT_EQ(host.generations, std::vector<std::uint64_t>{1}) << "what was accepted was kept";
    this->pass(9s);
    EXPECT_EQ(host.generations, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(host.follower.in_force()->content.name, "early");
}

TEST_F(bundle_follower_test, a_fresh_host_whose_peers_are_silent_reads_the_log)
{
    this->activate("one", 3);
    test_host& fresh = this->add_host("b");
    fresh.ask_peers = [](const std::vector<part_digest>&) {};
    fresh.follower.start();
    this->pass(1s);
    EXPECT_EQ(fresh.generations, std::vector<std::uint64_t>{1});
}

TEST_F(bundle_follower_test, a_host_that_fell_behind_the_retention_catches_up_from_a_peer)
{
    test_host& peer = this->add_host("a");
    test_host& late = this->add_host("b");
    peer.follower.start();
    late.follower.start();
    this->activate("one", 3);
    this->pass(1s);
    late.follower.stop();
    this->activate("two", 4);
    this->pass(1s);
    this->log.expire(0);
    late.ask_peers = [&](const std::vector<part_digest>& missing) {
        if (const std::optional<peer_bundle_state> state = peer.follower.answer_peer(missing)) {
            late.follower.handle_peer_state(*state);
        }
    };
    late.follower.start();
    this->pass(9s);
    EXPECT_EQ(late.generations.back(), 2U);
    EXPECT_TRUE(late.follower.status().is_complete);
}

} // namespace

} // namespace sailtiller
