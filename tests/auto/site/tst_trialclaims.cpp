// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <site/trialclaims.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// The topic of suspect requests in the store. Each call is answered some milliseconds later, so that calls
/// of several hosts interleave.
class suspects_topic
{
public:
    suspects_topic(timer_queue& timers, const time_point& now)
        : timers(timers)
        , now(now)
    {
    }

    void answer_later(const std::function<void()>& action) { this->timers.schedule(this->now + 4ms, action); }

    void put(const keyed_record& record)
    {
        ++this->end;
        if (record.value) {
            this->values[record.key] = *record.value;
        } else {
            this->values.erase(record.key);
        }
    }

    [[nodiscard]] newest_page page() const
    {
        newest_page page;
        for (const auto& [key, value] : this->values) {
            page.records.push_back({key, value});
        }
        page.end = log_offset(this->end);
        return page;
    }

    std::map<std::string, std::string> values;
    std::uint64_t end = 0;
    bool fails = false;
    bool loses_answers = false;
    unsigned calls = 0;

private:
    timer_queue& timers;
    const time_point& now;
};

/// Suspects and claims of one host.
struct claiming_host
{
    crash_suspects suspects;
    std::unique_ptr<trial_claims> claims;
    std::optional<bool> answer;
    bool is_store_reached = true;
};

class trial_claims_test : public testing::Test
{
protected:
    trial_claims_test() { this->start_hosts(3); }

    void start_hosts(std::size_t count)
    {
        this->hosts.clear();
        for (std::size_t number = 0; number < count; ++number) {
            this->hosts.push_back(std::make_unique<claiming_host>());
            claiming_host& host = *this->hosts.back();
            host.claims = std::make_unique<trial_claims>(host.suspects, this->make_hooks(host));
        }
    }

    trial_claims_hooks make_hooks(claiming_host& host)
    {
        trial_claims_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.read_newest = [this](const auto& on_all, const auto& on_failure) {
            this->call([this, on_all] { on_all(this->topic.page()); }, on_failure);
        };
        hooks.put_at = [this](const std::vector<keyed_record>& records, log_offset end, const auto& on_done,
                           const auto& on_failure) {
            this->call(
                [this, records, end, on_done, on_failure] {
                    const bool is_at_end = end.value() == this->topic.end;
                    if (is_at_end) {
                        for (const keyed_record& record : records) {
                            this->topic.put(record);
                        }
                    }
                    if (this->topic.loses_answers) {
                        on_failure(error({"write", "store"}, "lost"));
                        return;
                    }
                    on_done(is_at_end);
                },
                on_failure);
        };
        hooks.drop = [this](const std::string& key) { this->topic.put({key, std::nullopt}); };
        hooks.is_store_reached = [&host] { return host.is_store_reached; };
        hooks.on_event = [](event_type, const suspect_id&, const std::string&) {};
        return hooks;
    }

    void call(const std::function<void()>& action, const std::function<void(const error&)>& on_failure)
    {
        ++this->topic.calls;
        this->topic.answer_later([this, action, on_failure] {
            if (this->topic.fails) {
                on_failure(error({"call", "store"}, "busy"));
                return;
            }
            action();
        });
    }

    void suspect_on_all()
    {
        for (const auto& host : this->hosts) {
            for (const char* name : {"e1", "e2", "e3"}) {
                host->suspects.note_crash({this->content}, upstream_id(name), this->now);
            }
        }
    }

    void claim(claiming_host& host)
    {
        host.answer.reset();
        host.claims->claim({this->content}, [&host](bool is_given) { host.answer = is_given; });
    }

    /// Claims a trial on all hosts at once. Returns the number of granted trials.
    std::size_t claim_on_all()
    {
        for (const auto& host : this->hosts) {
            this->claim(*host);
        }
        this->pass(1s);
        return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(),
            [](const auto& host) { return host->answer == std::optional(true); }));
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 1ms;
            this->timers.run_due(this->now);
        }
    }

    time_point now{std::chrono::seconds(100)};
    timer_queue timers;
    suspects_topic topic{this->timers, this->now};
    std::vector<std::unique_ptr<claiming_host>> hosts;
    suspect_id content{request_content("c")};
};

TEST_F(trial_claims_test, grants_one_trial_for_concurrent_claims)
{
    this->suspect_on_all();
    EXPECT_EQ(this->claim_on_all(), 1U);
    EXPECT_EQ(this->topic.values.size(), 1U);
}

TEST_F(trial_claims_test, grants_three_trials_per_fleet_across_restarts)
{
    std::size_t given = 0;
    for (int round = 0; round < 20; ++round) {
        this->start_hosts(3); // all are restarted at once without state
        for (const auto& host : this->hosts) {
            host->claims->start();
        }
        this->pass(31s);
        this->suspect_on_all();
        given += this->claim_on_all();
    }
    EXPECT_EQ(given, max_trials);
}

TEST_F(trial_claims_test, starting_host_reads_earlier_trials_from_the_store)
{
    this->suspect_on_all();
    this->claim_on_all();
    this->start_hosts(1);
    this->topic.fails = true;
    this->hosts.front()->claims->start();
    this->pass(1s);
    this->topic.fails = false;
    this->pass(1s);
    const send_assessment judged = this->hosts.front()->suspects.assess({this->content}, this->now);
    EXPECT_EQ(judged.decision, send_decision::later) << "one trial was granted, to a host that has ended";
    EXPECT_GT(judged.wait, duration(3s));
}

TEST_F(trial_claims_test, denies_trials_while_the_store_fails_or_loses_answers)
{
    this->suspect_on_all();
    this->topic.fails = true;
    EXPECT_EQ(this->claim_on_all(), 0U);
    this->topic.fails = false;
    this->topic.loses_answers = true;
    EXPECT_EQ(this->claim_on_all(), 0U);
    this->topic.loses_answers = false;
    EXPECT_EQ(this->claim_on_all(), 0U) << "a trial was written and may be in progress";
    this->pass(5s);
    EXPECT_EQ(this->claim_on_all(), 1U);
}

TEST_F(trial_claims_test, does_not_query_a_store_known_to_be_unavailable)
{
    this->suspect_on_all();
    claiming_host& host = *this->hosts.front();
    host.is_store_reached = false;
    this->claim(host);
    EXPECT_FALSE(host.answer) << "claims are always answered asynchronously";
    this->pass(5ms);
    EXPECT_EQ(host.answer, std::optional(false));
    EXPECT_EQ(this->topic.calls, 0U);
}

TEST_F(trial_claims_test, unreadable_record_does_not_affect_others)
{
    this->topic.put({"broken", "?"});
    this->topic.put({"c", R"({"trials":3,"clearances":0})"});
    claiming_host& host = *this->hosts.front();
    host.claims->start();
    this->pass(1s);
    EXPECT_EQ(host.suspects.assess({this->content}, this->now).decision, send_decision::never);
    EXPECT_EQ(host.suspects.record_count(), 1U);
}

TEST_F(trial_claims_test, a_dropped_record_leaves_the_topic)
{
    this->suspect_on_all();
    this->claim_on_all();
    this->hosts.front()->claims->drop(this->content);
    EXPECT_TRUE(this->topic.values.empty());
}

} // namespace

} // namespace sailtiller::tests
