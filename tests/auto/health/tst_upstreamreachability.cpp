// SPDX-License-Identifier: Apache-2.0
#include <health/upstreamreachability.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

constexpr duration request_limit = 200ms;
/// From a cut until a host must know of it, at one request a second.
constexpr duration detection_limit = 1s;

const upstream_group engines_x{service_id("llm"), data_hall_id("x")};
const upstream_group engines_y{service_id("llm"), data_hall_id("y")};
const upstream_group plain_x{service_id("plain"), data_hall_id("x")};
const upstream_group plain_y{service_id("plain"), data_hall_id("y")};

/// Upstreams in two halls: five engines and one plain service in each. Connections are made at once, or fail
/// at their limit.
class upstream_reachability_test : public testing::Test
{
protected:
    upstream_reachability_test()
    {
        for (const upstream_group& group : {engines_x, engines_y}) {
            for (const char* number : {"1", "2", "3", "4", "5"}) {
                this->members[group].push_back(upstream_id(group.data_hall.value() + number));
            }
        }
        this->members[plain_x] = {upstream_id("px")};
        this->members[plain_y] = {upstream_id("py")};
        upstream_reachability_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.random = make_seeded_random(1);
        hooks.list_groups = [this] {
            std::vector<upstream_group> groups;
            for (const auto& [group, ids] : this->members) {
                groups.push_back(group);
            }
            return groups;
        };
        hooks.list_members = [this](const upstream_group& group) { return this->members[group]; };
        hooks.connect = [this](const upstream_id& id, duration limit, std::function<void(bool)> on_end) {
            ++this->checks;
            const bool is_made = !this->cut.contains(id);
            this->timers.schedule(
                this->now + (is_made ? 1ms : limit), [on_end, is_made] { on_end(is_made); });
        };
        hooks.on_change = [this](const upstream_group& group, bool is_reachable) {
            this->changes.emplace_back(group, is_reachable);
        };
        this->reachability = std::make_unique<upstream_reachability>(upstream_reachability_settings{}, hooks);
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 1ms;
            this->timers.run_due(this->now);
        }
    }

    void cut_groups(const std::vector<upstream_group>& groups)
    {
        for (const upstream_group& group : groups) {
            this->cut.insert(this->members[group].begin(), this->members[group].end());
        }
    }

    /// A request's own connection, which takes its whole limit to fail.
    void connect(const std::string& id, const upstream_group& group)
    {
        const time_point began = this->now;
        if (this->cut.contains(upstream_id(id))) {
            this->pass(request_limit);
            this->reachability->note_failed(upstream_id(id), group, began, request_limit);
        } else {
            this->reachability->note_connected(upstream_id(id), group);
        }
    }

    time_point now{1000s};
    timer_queue timers;
    std::map<upstream_group, std::vector<upstream_id>> members;
    std::set<upstream_id> cut; ///< to which no connection can be made
    std::vector<std::pair<upstream_group, bool>> changes;
    unsigned checks = 0;
    std::unique_ptr<upstream_reachability> reachability;
};

TEST_F(upstream_reachability_test, one_failed_request_of_a_calm_host_shows_the_loss_of_all_groups)
{
    this->connect("x1", engines_x);
    this->pass(5s);
    this->cut_groups({engines_x, engines_y, plain_x, plain_y});
    const time_point cut_at = this->now;
    this->connect("x1", engines_x);
    while (this->reachability->unreachable_groups().size() < 4 && this->now - cut_at < 5s) {
        this->pass(1ms);
    }
    EXPECT_LT(this->now - cut_at, detection_limit);
    EXPECT_FALSE(this->reachability->is_service_reachable(service_id("llm")));
    EXPECT_FALSE(this->reachability->is_service_reachable(service_id("plain")));
}

TEST_F(upstream_reachability_test, dead_upstreams_do_not_look_like_a_lost_way)
{
    this->cut = {upstream_id("x1"), upstream_id("px")};
    this->connect("x1", engines_x);
    this->pass(100ms);
    this->connect("px", plain_x);
    this->pass(100ms);
    EXPECT_TRUE(this->changes.empty());
    EXPECT_FALSE(this->reachability->is_doubtful(engines_x));
    EXPECT_FALSE(this->reachability->is_doubtful(plain_x));
    EXPECT_LE(this->checks, 4U);
}

TEST_F(upstream_reachability_test, a_failure_beside_connections_that_were_made_is_not_checked)
{
    const time_point began = this->now;
    this->pass(request_limit / 2);
    this->reachability->note_connected(upstream_id("x2"), engines_x);
    this->pass(request_limit / 2);
    this->reachability->note_failed(upstream_id("x1"), engines_x, began, request_limit);
    EXPECT_EQ(this->checks, 0U);
    EXPECT_FALSE(this->reachability->is_doubtful(engines_x));
}

TEST_F(upstream_reachability_test, late_timers_of_a_busy_process_are_no_evidence)
{
    for (const char* id : {"x1", "x2", "x3", "x4", "x5"}) {
        this->reachability->note_failed(upstream_id(id), engines_x, this->now - 400ms, request_limit);
    }
    this->pass(500ms);
    EXPECT_TRUE(this->changes.empty());
}

TEST_F(upstream_reachability_test, upstreams_that_have_left_are_no_evidence)
{
    for (const char* id : {"gone1", "gone2", "gone3"}) {
        this->reachability->note_failed(upstream_id(id), engines_x, this->now - request_limit, request_limit);
    }
    this->pass(500ms);
    EXPECT_TRUE(this->changes.empty());
}

TEST_F(upstream_reachability_test, one_hall_or_one_service_is_lost_alone)
{
    this->cut_groups({engines_y});
    this->connect("y1", engines_y);
    this->pass(200ms);
    EXPECT_EQ(this->reachability->unreachable_groups(), std::vector{engines_y});
    EXPECT_TRUE(this->reachability->is_service_reachable(service_id("llm")));
    this->cut_groups({plain_x, plain_y});
    this->connect("px", plain_x);
    this->pass(200ms);
    EXPECT_EQ(this->reachability->unreachable_groups(), (std::vector{engines_y, plain_x, plain_y}));
    EXPECT_TRUE(this->reachability->is_reachable(engines_x));
}

TEST_F(upstream_reachability_test, a_group_returns_within_a_second_of_its_healing_and_not_by_one_upstream)
{
    this->cut_groups({engines_x});
    this->connect("x1", engines_x);
    this->pass(2s);
    ASSERT_FALSE(this->reachability->is_reachable(engines_x));
    this->reachability->note_connected(upstream_id("x1"), engines_x);
    EXPECT_FALSE(this->reachability->is_reachable(engines_x));
    this->pass(1s);
    EXPECT_FALSE(this->reachability->is_reachable(engines_x)) << "the others still fail";
    this->cut.clear();
    this->pass(detection_limit);
    EXPECT_TRUE(this->reachability->is_reachable(engines_x));
}

TEST_F(upstream_reachability_test, checks_of_a_cut_host_are_few)
{
    this->cut_groups({engines_x, engines_y, plain_x, plain_y});
    this->connect("x1", engines_x);
    this->pass(10s);
    constexpr unsigned groups = 4;
    constexpr unsigned checks_per_group_and_second = 4;
    EXPECT_LE(this->checks, 10 * groups * checks_per_group_and_second + 2 * groups);
}

TEST_F(upstream_reachability_test, an_action_waits_until_the_checks_of_its_group_have_ended)
{
    this->cut = {upstream_id("x1")};
    bool is_done = false;
    this->connect("x1", engines_x);
    this->reachability->when_settled(engines_x, [&is_done] { is_done = true; });
    EXPECT_FALSE(is_done);
    this->pass(10ms);
    EXPECT_TRUE(is_done);
    is_done = false;
    this->reachability->when_settled(engines_y, [&is_done] { is_done = true; });
    EXPECT_TRUE(is_done) << "nothing is checked there";
}

} // namespace

} // namespace sailtiller
