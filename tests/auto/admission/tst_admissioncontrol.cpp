// SPDX-License-Identifier: Apache-2.0
// What becomes of single requests under a given load.
#include <admission/requestadmission.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class admission_test : public testing::Test
{
protected:
    admission_test()
    {
        this->profile.request_slots = 10;
        this->put_engine("a");
        this->put_engine("b");
        this->set_priorities({0, 2});
    }

    void put_engine(const std::string& id)
    {
        this->directory.put(
            {upstream_id(id), {}, service_id("llm"), endpoint(id), data_hall_id("x"), false, "big", {0, 16}},
            this->now);
    }

    bool set_priorities(const std::vector<int>& priorities)
    {
        site_bundle bundle;
        bundle.version = bundle_version(++this->version);
        for (const int priority : priorities) {
            service_route route;
            route.latency_objective = 500ms;
            route.priority = priority;
            route.targets = {{service_id("llm")}};
            bundle.routes.push_back(route);
        }
        bundle.pools.push_back({service_id("llm"), "", 0, this->profile});
        return this->control.apply_terms(bundle, service_id("llm"));
    }

    /// A load of the other hosts in which 100 requests per second begin and `waiting` wait.
    void set_load(double demand, double waiting)
    {
        load_summary load;
        load.arrivals[{0, 0, true}] = demand / 2;
        load.arrivals[{0, 2, true}] = demand / 2;
        load.first_events = 100;
        load.waiting = waiting;
        load.slow_waiting = waiting / 2;
        load.slow_first_events = waiting;
        this->control.set_peer_load(load);
    }

    /// Keeps a load of four times the capacity until admission has adapted.
    void overload()
    {
        this->set_load(400, 100);
        for (int step = 0; step < 20; ++step) {
            this->now += 100ms;
            (void)this->control.admitted_share();
        }
    }

    std::unique_ptr<request_admission> make(int priority, bool is_first_try = true, double work = 100)
    {
        admission_view view{this->profile, this->directory, this->loads, [this] { return this->now; },
            [this](const std::set<upstream_id>& avoided) -> std::optional<layer_path> {
                for (const auto& [id, entry] : this->directory.entries()) {
                    if (avoided.count(id) == 0) {
                        return layer_path{{id, entry.upstream.address, {0, 16}}};
                    }
                }
                return std::nullopt;
            },
            [](const layer_path&) { return true; }};
        return std::make_unique<request_admission>(this->control, std::move(view),
            admission_request{service_id("llm"), {0, priority, is_first_try}, 500ms, this->now,
                this->now + 20s, this->now + 100ms, 80, work});
    }

    double share_sent(int priority, bool is_first_try = true, double work = 100)
    {
        constexpr int count = 1000;
        int sent = 0;
        for (int number = 0; number < count; ++number) {
            this->now += 25ms;
            sent +=
                this->make(priority, is_first_try, work)->decide({}).what == admission_verdict::action::send;
        }
        return static_cast<double>(sent) / count;
    }

    void fill(const std::string& id, int requests)
    {
        for (int number = 0; number < requests; ++number) {
            this->loads.add(upstream_id(id), 0);
        }
    }

    time_point now{1000s};
    std::uint64_t version = 0;
    timer_queue timers;
    engine_profile profile = make_sample_profile();
    upstream_directory directory{2s};
    engine_loads loads;
    admission_control control{make_timer_hooks(timers, [this] { return this->now; }), make_seeded_random(1)};
};

TEST_F(admission_test, decides_only_for_services_with_slots_and_several_priorities)
{
    EXPECT_FALSE(this->set_priorities({1, 1}));
    EXPECT_TRUE(this->set_priorities({0, 1}));
    this->profile.request_slots = 0;
    EXPECT_FALSE(this->set_priorities({0, 1}));
}

TEST_F(admission_test, sends_everything_without_an_overload)
{
    this->set_load(100, 5);
    this->fill("a", 30);
    EXPECT_EQ(this->share_sent(2), 1);
}

TEST_F(admission_test, refuses_lower_priorities_first_and_keeps_a_part_for_them)
{
    this->overload();
    const double high = this->share_sent(0);
    const double low = this->share_sent(2);
    EXPECT_GT(high, low);
    EXPECT_GE(low, (high + low) / 2 / 4);
}

TEST_F(admission_test, admits_returning_callers_before_first_tries_of_their_priority)
{
    this->overload();
    EXPECT_GE(this->share_sent(0, false), this->share_sent(0, true));
}

TEST_F(admission_test, admits_large_requests_at_least_half_as_often_as_small_ones)
{
    this->overload();
    const double small = this->share_sent(2, true, 10);
    const double large = this->share_sent(2, true, 10'000);
    EXPECT_GT(small, large);
    EXPECT_GE(large, small / 2 - 0.03); // three standard deviations
}

TEST_F(admission_test, passes_a_full_head_by)
{
    this->set_load(100, 15);
    this->fill("a", 100);
    const admission_verdict verdict = this->make(0)->decide({});
    ASSERT_EQ(verdict.what, admission_verdict::action::send);
    EXPECT_EQ(verdict.path.front().id, upstream_id("b"));
}

TEST_F(admission_test, refuses_at_once_what_is_late_on_every_path)
{
    this->set_load(100, 15);
    this->control.corrections.residence = 2s;
    this->fill("a", 100);
    this->fill("b", 100);
    const admission_verdict verdict = this->make(0)->decide({});
    ASSERT_EQ(verdict.what, admission_verdict::action::refuse);
    EXPECT_NE(verdict.reason.find("priority 0"), std::string::npos);
    EXPECT_NE(verdict.reason.find("for a slot"), std::string::npos);
}

TEST_F(admission_test, spreads_the_times_to_return_below_a_third_of_the_time_left)
{
    this->overload();
    std::set<duration> times;
    for (int number = 0; number < 100; ++number) {
        const admission_verdict verdict = this->make(2)->decide({});
        if (verdict.what == admission_verdict::action::refuse) {
            EXPECT_GE(verdict.retry_after, 1s);
            EXPECT_LE(verdict.retry_after, 20s / 3);
            times.insert(verdict.retry_after);
        }
    }
    EXPECT_GT(times.size(), 10U);
    EXPECT_GT(*times.rbegin() - *times.begin(), 1s);
}

TEST_F(admission_test, admits_all_again_after_an_overload)
{
    this->overload();
    EXPECT_LT(this->control.admitted_share(), 0.5);
    this->set_load(80, 5);
    for (int step = 0; step < 30; ++step) {
        this->now += 100ms;
        (void)this->control.admitted_share();
    }
    EXPECT_EQ(this->control.admitted_share(), 1);
}

TEST_F(admission_test, counts_a_request_that_ends_without_an_event_as_waiting_no_longer)
{
    auto request = this->make(0);
    const admission_verdict verdict = request->decide({});
    request->note_sent(verdict.path);
    EXPECT_EQ(this->control.own_load().waiting, 1);
    request.reset();
    EXPECT_EQ(this->control.own_load().waiting, 0);
    EXPECT_EQ(this->control.own_load().first_events, 0);
}

} // namespace

} // namespace sailtiller::tests
