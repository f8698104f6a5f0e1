// SPDX-License-Identifier: Apache-2.0
#include <health/stalldetector.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

std::vector<upstream_id> parts(std::initializer_list<const char*> names)
{
    return {names.begin(), names.end()};
}

/// A path whose tokens take 2 ms; callers are promised a first event within 500 ms and pauses of 250 ms.
stream_expectation usual_path()
{
    return {.reading = 30ms, .token = 2ms, .first_objective = 500ms, .longest_pause = 250ms};
}

class stall_detector_test : public testing::Test
{
protected:
    stall_detector_test()
    {
        stall_detector_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.probe = [this](const upstream_id& id, std::function<void(std::optional<double>)> on_answer) {
            this->probed.push_back(id.value());
            this->answers[id.value()] = std::move(on_answer);
        };
        hooks.find_other = [this](const upstream_id&) { return this->other; };
        hooks.is_assigned_prober = [](const upstream_id&) { return true; };
        hooks.on_dead = [this](const std::vector<upstream_id>& ids) {
            for (const upstream_id& id : ids) {
                this->dead.push_back(id.value());
            }
        };
        hooks.on_alive = [this](const upstream_id& id, double pace) { this->paces[id.value()] = pace; };
        this->watch = std::make_unique<stall_detector>(stall_detector_settings{}, hooks);
        this->watch->start();
    }

    /// Advances the clock in check intervals; the `moving` streams get an event at each `gap`.
    void pass(duration time, const std::vector<stall_detector::stream_key>& moving = {}, duration gap = 20ms)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 10ms;
            if ((this->now - time_point{100s}) % gap == 0ms) {
                for (const stall_detector::stream_key key : moving) {
                    this->watch->note_progress(key);
                }
            }
            this->timers.run_due(this->now);
        }
    }

    /// Adds a stream and sends events on it and on the `moving` ones until its gaps are known.
    stall_detector::stream_key add_moving(std::initializer_list<const char*> names, duration gap = 20ms,
        std::vector<stall_detector::stream_key> moving = {})
    {
        moving.push_back(this->watch->add(parts(names), usual_path()));
        this->pass(1s, moving, gap);
        return moving.back();
    }

    /// Time for which the stream is silent before a probe is sent.
    duration silence_until_probe()
    {
        const time_point start = this->now;
        while (this->probed.empty() && this->now - start < 1s) {
            this->pass(10ms);
        }
        return this->now - start;
    }

    time_point now{100s};
    timer_queue timers;
    std::vector<std::string> probed;
    std::map<std::string, std::function<void(std::optional<double>)>> answers;
    std::vector<std::string> dead;
    std::map<std::string, double> paces;
    std::optional<upstream_id> other{"elsewhere"};
    std::unique_ptr<stall_detector> watch;
};

TEST_F(stall_detector_test, suspects_only_stages_without_progressing_streams)
{
    const auto first = this->watch->add(parts({"head", "shared", "broken"}), usual_path());
    const auto second = this->watch->add(parts({"head", "shared", "sound"}), usual_path());
    this->pass(400ms, {first, second});
    this->pass(200ms, {second});
    EXPECT_EQ(this->probed, std::vector<std::string>{"broken"});
}

TEST_F(stall_detector_test, silence_limit_follows_observed_gaps)
{
    this->add_moving({"a"}, 20ms);
    const duration fast = this->silence_until_probe();
    EXPECT_LE(fast, 60ms);
    EXPECT_GE(fast, 30ms);
}

TEST_F(stall_detector_test, engine_with_an_event_every_100_ms_is_not_suspected)
{
    const auto key = this->add_moving({"a"}, 100ms);
    this->pass(20s, {key}, 100ms);
    EXPECT_TRUE(this->probed.empty());
    EXPECT_LE(this->silence_until_probe(), 160ms) << "1.5 usual gaps";
}

TEST_F(stall_detector_test, irregular_gaps_are_tolerated)
{
    const auto key = this->watch->add(parts({"a"}), usual_path());
    for (int turn = 0; turn < 100; ++turn) {
        this->pass(turn % 2 == 0 ? 20ms : 80ms);
        this->watch->note_progress(key);
    }
    EXPECT_TRUE(this->probed.empty());
}

TEST_F(stall_detector_test, gaps_of_one_path_predict_first_gap_of_another)
{
    const auto first = this->add_moving({"a"}, 20ms); // ten times the time of a token
    stream_expectation slower = usual_path();
    slower.token = 4ms;
    const auto second = this->watch->add(parts({"b"}), slower);
    this->pass(20ms, {first});
    this->watch->note_progress(second);
    this->pass(40ms, {first});
    EXPECT_TRUE(this->probed.empty()) << "40 ms are expected there";
    this->pass(60ms, {first});
    EXPECT_EQ(this->probed, std::vector<std::string>{"b"});
}

TEST_F(stall_detector_test, jointly_silent_streams_raise_suspicion_sooner)
{
    // Alternating gaps of 20 and 60 ms: a single stream is tolerated much longer.
    std::vector<stall_detector::stream_key> keys;
    keys.reserve(3);
    for (int count = 0; count < 3; ++count) {
        keys.push_back(this->watch->add(parts({"a"}), usual_path()));
    }
    const auto move_all = [this, &keys] {
        for (int turn = 0; turn < 40; ++turn) {
            this->pass(turn % 2 == 0 ? 20ms : 60ms);
            for (const auto key : keys) {
                this->watch->note_progress(key);
            }
        }
    };
    move_all();
    const duration together = this->silence_until_probe();
    this->answers["a"](1.0);
    this->watch->remove(keys.back());
    keys.pop_back();
    this->pass(1s, keys, 60ms); // it was probed recently
    move_all();
    this->probed.clear();
    EXPECT_LT(together, this->silence_until_probe());
}

TEST_F(stall_detector_test, unanswering_suspect_is_dead_while_others_respond)
{
    const auto sound = this->add_moving({"b"});
    const auto silent = this->watch->add(parts({"a"}), usual_path());
    this->pass(200ms, {sound, silent});
    this->pass(50ms, {sound});
    ASSERT_EQ(this->probed, std::vector<std::string>{"a"});
    EXPECT_TRUE(this->dead.empty());
    this->pass(50ms, {sound});
    EXPECT_EQ(this->dead, std::vector<std::string>{"a"});
    EXPECT_TRUE(this->watch->is_dead(upstream_id("a")));
}

TEST_F(stall_detector_test, isolated_host_marks_no_upstream_dead)
{
    const auto first = this->add_moving({"a", "b"});
    this->add_moving({"c", "d"}, 20ms, {first});
    this->pass(2s);
    EXPECT_FALSE(this->probed.empty());
    EXPECT_TRUE(this->dead.empty());
}

TEST_F(stall_detector_test, stall_on_progressing_path_probes_all_stages)
{
    const auto slow = this->watch->add(parts({"a", "b"}), usual_path());
    const auto quick = this->watch->add(parts({"a", "b"}), usual_path());
    this->pass(400ms, {slow, quick});
    this->pass(60ms, {quick});
    EXPECT_EQ(this->probed, (std::vector<std::string>{"a", "b"}));
    this->answers["a"](1.0);
    this->answers["b"](12.0);
    EXPECT_EQ(this->paces["b"], 12.0);
    this->pass(900ms, {quick});
    EXPECT_EQ(this->probed.size(), 2U) << "both have answered recently";
}

TEST_F(stall_detector_test, reports_recent_progress_over_upstream)
{
    const auto key = this->watch->add(parts({"a", "b"}), usual_path());
    EXPECT_FALSE(this->watch->has_progressed(upstream_id("a"), this->now));
    EXPECT_FALSE(this->watch->is_progressing(upstream_id("a")));
    this->pass(40ms, {key});
    EXPECT_TRUE(this->watch->has_progressed(upstream_id("b"), this->now - 20ms));
    EXPECT_TRUE(this->watch->is_progressing(upstream_id("b")));
    EXPECT_FALSE(this->watch->has_progressed(upstream_id("c"), this->now - 20ms));
    EXPECT_FALSE(this->watch->is_progressing(upstream_id("c")));
    this->pass(300ms);
    EXPECT_FALSE(this->watch->has_progressed(upstream_id("b"), this->now - 40ms));
    EXPECT_FALSE(this->watch->is_progressing(upstream_id("b")));
}

TEST_F(stall_detector_test, stream_is_not_silent_before_first_event_is_due)
{
    stream_expectation long_prompt = usual_path();
    long_prompt.reading = 300ms;
    this->watch->add(parts({"a"}), long_prompt);
    this->pass(420ms);
    EXPECT_TRUE(this->probed.empty());
    this->pass(200ms);
    EXPECT_EQ(this->probed.front(), "a");
}

TEST_F(stall_detector_test, first_event_limit_follows_other_streams)
{
    for (int count = 0; count < 20; ++count) {
        const auto key = this->watch->add(parts({"a"}), usual_path());
        this->pass(50ms);
        this->watch->note_progress(key);
        this->watch->remove(key);
    }
    this->watch->add(parts({"a"}), usual_path());
    this->pass(50ms);
    EXPECT_TRUE(this->probed.empty());
    this->pass(60ms);
    ASSERT_FALSE(this->probed.empty());
    EXPECT_EQ(this->probed.front(), "a");
}

TEST_F(stall_detector_test, new_stream_does_not_clear_its_path)
{
    const auto first = this->watch->add(parts({"a", "b"}), usual_path());
    this->pass(400ms, {first});
    this->pass(20ms);
    this->watch->add(parts({"a", "b"}), usual_path());
    this->pass(50ms);
    EXPECT_EQ(this->probed.size(), 2U);
}

TEST_F(stall_detector_test, stall_of_own_process_marks_no_upstream_dead)
{
    const auto first = this->add_moving({"a"});
    this->now += 3s;
    this->timers.run_due(this->now);
    EXPECT_TRUE(this->probed.empty());
    this->pass(20ms);
    EXPECT_TRUE(this->probed.empty());
    this->pass(20ms);
    EXPECT_EQ(this->probed, std::vector<std::string>{"a"});
    this->watch->remove(first);
}

TEST_F(stall_detector_test, repeatedly_stalled_host_sends_no_probes)
{
    const auto key = this->add_moving({"a"});
    // The process runs for 10 ms of each 100 ms and then also reads the events that arrived meanwhile.
    for (int turn = 0; turn < 50; ++turn) {
        this->now += 90ms;
        this->timers.run_due(this->now);
        this->watch->note_progress(key);
        this->pass(10ms);
    }
    EXPECT_TRUE(this->probed.empty());
    EXPECT_TRUE(this->dead.empty());
}

TEST_F(stall_detector_test, changed_path_and_finished_stream_are_not_suspected)
{
    const auto first = this->add_moving({"a"});
    const auto second = this->add_moving({"b"}, 20ms, {first});
    stream_expectation reads_anew = usual_path();
    reads_anew.reading = 200ms;
    this->watch->change_path(first, parts({"c"}), reads_anew);
    this->watch->remove(second);
    this->pass(400ms);
    EXPECT_TRUE(this->probed.empty());
}

TEST_F(stall_detector_test, gap_across_path_change_is_not_recorded)
{
    const auto key = this->add_moving({"a"});
    this->watch->change_path(key, parts({"b"}), usual_path());
    this->pass(100ms);
    this->probed.clear();
    this->pass(1s, {key});
    this->probed.clear();
    EXPECT_LE(this->silence_until_probe(), 60ms);
}

} // namespace

} // namespace sailtiller
